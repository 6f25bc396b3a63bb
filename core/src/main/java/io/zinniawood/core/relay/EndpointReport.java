package io.zinniawood.core.relay;

import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.NodeAddress;
import java.util.List;

/**
 * What an endpoint reports of itself; at most some hundred milliseconds old.
 *
 * @param ordersAccepted orders that it has accepted since its start
 * @param slowness factor by which it runs slower than usual; 1 if it runs as usual
 * @param stalledRequests requests that entered their path here and wait for a dead part of it
 */
public record EndpointReport(
    long ordersAccepted, double slowness, List<StalledRequest> stalledRequests) {
  /** Copies the list. */
  public EndpointReport {
    stalledRequests = List.copyOf(stalledRequests);
  }

  /**
   * A request that waits for a dead part of its path.
   *
   * @param request id that the caller gave it
   * @param deadEndpoint address of the part
   */
  public record StalledRequest(RequestId request, NodeAddress deadEndpoint) {}
}
