package io.zinniawood.core.entry;

import io.zinniawood.core.id.SessionId;

/** Request that has not been answered. */
sealed interface OpenRequest permits OpenRequest.ModelRequest, ServiceRequest {

  /**
   * Model request; its state is in its session.
   *
   * @param session id of the session
   */
  record ModelRequest(SessionId session) implements OpenRequest {}
}
