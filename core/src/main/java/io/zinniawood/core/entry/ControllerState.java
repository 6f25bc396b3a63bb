package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.zinniawood.core.entry.lease.LeaseRole;
import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.LayerRange;

/**
 * State of the controller lease and of the repair of layer ranges.
 *
 * @param role whether this entry may acquire the lease
 * @param lease view of the lease
 * @param store whether the table answered the last read or write of the lease
 * @param underReplicatedSinceNanos monotonic time in nanoseconds, by model, from which the grace
 *     period for its missing replicas counts
 * @param pendingOrders orders whose result has not arrived, by order id
 */
record ControllerState(
    LeaseRole role,
    LeaseView lease,
    StoreState store,
    Map<ModelId, Long> underReplicatedSinceNanos,
    Map<AttemptId, PendingOrder> pendingOrders) {

  static ControllerState initial() {
    return new ControllerState(
        LeaseRole.CANDIDATE,
        LeaseView.unknown(),
        StoreState.AVAILABLE,
        HashMap.empty(),
        HashMap.empty());
  }

  ControllerState with(LeaseRole changed) {
    return new ControllerState(changed, lease, store, underReplicatedSinceNanos, pendingOrders);
  }

  ControllerState with(LeaseView changed) {
    return new ControllerState(role, changed, store, underReplicatedSinceNanos, pendingOrders);
  }

  ControllerState with(StoreState changed) {
    return new ControllerState(role, lease, changed, underReplicatedSinceNanos, pendingOrders);
  }

  ControllerState withUnderReplicatedSinceNanos(Map<ModelId, Long> changed) {
    return new ControllerState(role, lease, store, changed, pendingOrders);
  }

  ControllerState withPendingOrders(Map<AttemptId, PendingOrder> changed) {
    return new ControllerState(role, lease, store, underReplicatedSinceNanos, changed);
  }

  /** Availability of the platform's table, as reads and writes of the lease show it. */
  enum StoreState {
    AVAILABLE,
    UNAVAILABLE
  }

  /**
   * Order to load a layer range whose result has not arrived.
   *
   * @param endpoint endpoint that received the order
   * @param model model to load
   * @param layers layers to load
   * @param sentNanos monotonic time at which the order was sent, in nanoseconds
   */
  record PendingOrder(EndpointId endpoint, ModelId model, LayerRange layers, long sentNanos) {}
}
