package io.zinniawood.core.relay;

import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.NodeAddress;
import java.util.List;

/**
 * Status report of an endpoint; at most a few hundred milliseconds old.
 *
 * @param ordersAccepted number of orders that the endpoint has accepted since its start
 * @param startedMillis Unix time of the process start in milliseconds; 0 if unknown
 * @param slowdownFactor factor by which the endpoint runs slower than usual; 1 at its usual speed
 * @param stalledRequests requests that entered their path at this endpoint and wait for a dead
 *     endpoint on it
 */
public record EndpointReport(
    long ordersAccepted,
    long startedMillis,
    double slowdownFactor,
    List<StalledRequest> stalledRequests) {
  /** Makes an unmodifiable copy of the list. */
  public EndpointReport {
    stalledRequests = List.copyOf(stalledRequests);
  }

  /**
   * Request that waits for a dead endpoint on its path.
   *
   * @param request request id set by the caller
   * @param deadEndpoint address of the dead endpoint
   */
  public record StalledRequest(RequestId request, NodeAddress deadEndpoint) {}
}
