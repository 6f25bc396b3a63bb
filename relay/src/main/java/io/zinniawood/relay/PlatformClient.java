package io.zinniawood.relay;

import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.PlacementOrder;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayRequestId;
import java.util.function.Consumer;

/**
 * Client of one platform: its store and the control calls of its endpoints. All methods must be
 * called on the event-loop thread, and events are delivered on it.
 */
public interface PlatformClient {
  /** Starts reading routes and endpoints; each change is delivered as an event. */
  void start(Consumer<RelayEvent> events);

  /** Sends an order; the result is delivered as {@link RelayEvent.OrderAnswered}. */
  void sendOrder(PlacementOrder order);

  /** Changes the path of a request; delivers the result as {@link RelayEvent.RepathAnswered}. */
  void repath(
      RelayRequestId id, int attempt, CallerRequest request, NodeAddress first, LayerPath path);

  /**
   * Reads the report of an endpoint, which is delivered as {@link RelayEvent.ReportRead}. If no
   * report is received in time, {@link RelayEvent.ReportMissing} is delivered.
   */
  void readReport(EndpointId endpoint, NodeAddress address);

  /**
   * Reads the controller lease and the presence rows, which are delivered as {@link
   * RelayEvent.LeaseRead} and {@link RelayEvent.PresencesRead}. A failed read delivers no event.
   */
  void readLease();

  /** Writes the presence row of a relay with an increasing heartbeat number. */
  void writePresence(VmId vm, long heartbeat);

  /**
   * Writes the controller lease if its row has the expected version. The row in the store, whether
   * written or not, is delivered as {@link RelayEvent.LeaseRead}; a failed call delivers no event.
   *
   * @param expectedVersion version that the row must have; 0 if it must not exist yet
   */
  void writeLease(long expectedVersion, LeaseRow row);
}
