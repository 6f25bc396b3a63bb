package io.zinniawood.relay;

import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.PlacementOrder;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayRequestId;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of one platform: its store and the control calls of its endpoints. All methods must be
 * called on the event-loop thread, and events are delivered on it.
 */
public interface PlatformClient {
  /** Sets the receiver of all events. */
  void start(Consumer<RelayEvent> events);

  /**
   * Reads the complete endpoint list, which is delivered as {@link RelayEvent.EndpointsListed}, or
   * {@link RelayEvent.EndpointsReadFailed}.
   */
  void listEndpoints();

  /**
   * Reads the changes of the endpoint list, which are delivered as {@link
   * RelayEvent.EndpointsChanged}, or {@link RelayEvent.EndpointsReadFailed}.
   *
   * @param afterVersion version of the store after which the changes begin
   */
  void readEndpointChanges(StoreVersion afterVersion);

  /**
   * Reads the routes, which are delivered as {@link RelayEvent.RoutesAnswered}, or {@link
   * RelayEvent.RoutesReadFailed}.
   */
  void readRoutes();

  /**
   * Reads the routes once they change, or answers without routes when the wait is over. Delivers
   * the same events as {@link #readRoutes}.
   *
   * @param afterVersion version of the store after which a change counts
   * @param waitMillis longest time to wait for a change, in milliseconds
   */
  void awaitRoutes(StoreVersion afterVersion, long waitMillis);

  /**
   * Sends an order; the result is delivered as {@link RelayEvent.OrderAnswered}. What the endpoint
   * says about itself in any answer is delivered as {@link RelayEvent.EndpointStated} before.
   *
   * @param endpoint listed start of the endpoint that receives the order
   */
  void sendOrder(PlacementOrder order, EndpointIncarnation endpoint);

  /**
   * Changes the path of a request; delivers the result as {@link RelayEvent.RepathAnswered}.
   *
   * @param endpoint listed start of the first endpoint of the path
   */
  void repath(
      RelayRequestId id,
      int attempt,
      CallerRequest request,
      EndpointIncarnation endpoint,
      NodeAddress first,
      LayerPath path);

  /**
   * Reads the report of an endpoint, which is delivered as {@link RelayEvent.ReportRead}. If the
   * endpoint answers without a report, {@link RelayEvent.ReportRefused} is delivered, and if it
   * does not answer in time, {@link RelayEvent.ReportMissing}.
   */
  void readReport(EndpointIncarnation endpoint, NodeAddress address);

  /**
   * Asks the endpoint of an attempt for a sign of life on a new connection, and delivers {@link
   * RelayEvent.EndpointHeard}.
   *
   * @param endpoint process start that was listed when the request was sent
   */
  void confirmEndpoint(
      RelayRequestId id, int attempt, EndpointIncarnation endpoint, NodeAddress address);

  /**
   * Reads the controller lease and the presence rows, which are delivered as {@link
   * RelayEvent.LeaseRead} and {@link RelayEvent.PresencesRead}. A failed read delivers no event.
   */
  void readLease();

  /**
   * Writes the presence row of a relay with an increasing heartbeat number.
   *
   * @param peerAddress address for messages of other relays; empty if it receives none
   */
  void writePresence(VmId vm, Optional<NodeAddress> peerAddress, long heartbeat);

  /**
   * Writes the controller lease if its row has the expected version. The row in the store, whether
   * written or not, is delivered as {@link RelayEvent.LeaseRead}; a failed call delivers no event.
   *
   * @param expectedVersion version that the row must have; 0 if it must not exist yet
   */
  void writeLease(long expectedVersion, LeaseRow row);
}
