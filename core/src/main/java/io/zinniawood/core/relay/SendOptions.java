package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import java.util.Optional;

/**
 * Terms under which a request is sent to an endpoint.
 *
 * @param expectedEndpoint endpoint that must answer; any other one refuses
 * @param deadlineMillis time that is left, in milliseconds
 * @param account client account of the key; none on a route that is open to all
 * @param path path through the layers; none for a plain service
 * @param resumeAfter last event that the caller has; 0 if it has none
 * @param connection whether a kept connection may be used
 * @param streaming whether the answer is a series of events
 */
public record SendOptions(
    EndpointId expectedEndpoint,
    long deadlineMillis,
    Optional<ClientAccountId> account,
    Optional<LayerPath> path,
    long resumeAfter,
    ConnectionUse connection,
    boolean streaming) {
  /** Which connection carries a request. */
  public enum ConnectionUse {
    /** A kept connection or a new one. */
    ANY,
    /** A new one: if a kept connection broke, the outcome of the call would be unknown. */
    FRESH
  }
}
