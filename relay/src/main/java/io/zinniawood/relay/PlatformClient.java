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
 * Link to one platform: its store and the control calls of its endpoints. All methods are called on
 * the event-loop thread, and events are handed over on it.
 */
public interface PlatformClient {
  /** Begins to read routes and endpoints; their changes come as events. */
  void start(Consumer<RelayEvent> events);

  /** Gives an order; its result comes as {@link RelayEvent.OrderAnswered}. */
  void sendOrder(PlacementOrder order);

  /** Changes the path of a request; the result comes as {@link RelayEvent.RepathAnswered}. */
  void repath(
      RelayRequestId id, int attempt, CallerRequest request, NodeAddress first, LayerPath path);

  /**
   * Reads the report of an endpoint; it comes as {@link RelayEvent.ReportRead}, or as {@link
   * RelayEvent.ReportMissing} if there is none.
   */
  void readReport(EndpointId endpoint, NodeAddress address);

  /**
   * Reads the controller lease; the row comes as {@link RelayEvent.LeaseRead}, and the relays that
   * show their presence as {@link RelayEvent.PresencesRead}.
   */
  void readLease();

  /** Writes the row that shows a relay's presence. */
  void writePresence(VmId vm, long beat);

  /**
   * Writes the controller lease; the row as it then stands comes as {@link RelayEvent.LeaseRead}.
   *
   * @param expectedVersion version that the row must have; 0 if it must not exist
   * @param row the new row
   */
  void writeLease(long expectedVersion, LeaseRow row);
}
