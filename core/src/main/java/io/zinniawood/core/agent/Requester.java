package io.zinniawood.core.agent;

import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;

/**
 * Request that waits for the result of an attempt. Requests of several callers wait for one attempt
 * when they carry the same idempotency key; each reply names the request that it is for.
 *
 * @param peer entry of the request
 * @param request the request
 */
record Requester(PeerId peer, RequestId request) {
  static Requester of(PeerId peer, Message.Dispatch dispatch) {
    return new Requester(peer, dispatch.request());
  }
}
