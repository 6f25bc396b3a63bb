package io.zinniawood.core.agent;

import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;

/**
 * Request that waits for the result of an attempt. Requests of several callers wait for one attempt
 * if they have the same idempotency key; each reply carries the id of its request.
 *
 * @param peer entry that sent the request
 * @param request id of the request
 */
record Requester(PeerId peer, RequestId request) {
  static Requester of(PeerId peer, Message.Dispatch dispatch) {
    return new Requester(peer, dispatch.request());
  }
}
