package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import java.util.Optional;

/**
 * Options of a request that is sent to an endpoint.
 *
 * @param expectedEndpoint endpoint that the request is meant for; any other one refuses it
 * @param deadlineMillis remaining time, in milliseconds; at least 1
 * @param account client account of the API key; empty on a route that needs no key
 * @param path path through the model's layers; empty for a plain service
 * @param resumeAfter id of the last stream event that the caller received; 0 if none
 * @param connection whether a pooled connection may be used
 * @param streaming whether the answer is an event stream
 * @param urgency place in the queues of endpoints, from 0 (first) to 9
 */
public record SendOptions(
    EndpointId expectedEndpoint,
    long deadlineMillis,
    Optional<ClientAccountId> account,
    Optional<LayerPath> path,
    long resumeAfter,
    ConnectionUse connection,
    boolean streaming,
    int urgency) {
  /** Urgency that endpoints assume for requests without one. */
  public static final int DEFAULT_URGENCY = 5;

  private static final int MAX_URGENCY = 9;

  /** Rejects an urgency that endpoints do not know. */
  public SendOptions {
    if (urgency < 0 || urgency > MAX_URGENCY) {
      throw new IllegalArgumentException("urgency %d is not 0 to 9".formatted(urgency));
    }
  }

  /** Connections that may carry a request. */
  public enum ConnectionUse {
    /** A pooled or a new connection. */
    ANY,
    /**
     * A new connection only. A pooled one may be closing, and losing it would leave the outcome of
     * the call unknown; and an endpoint may repeat its answer to an earlier attempt on it.
     */
    FRESH
  }
}
