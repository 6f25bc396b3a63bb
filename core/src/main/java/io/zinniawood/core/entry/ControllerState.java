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
 * Controller lease and repair.
 *
 * @param role whether this entry may take the lease
 * @param lease view of the lease
 * @param store whether the lease's table answered last
 * @param underReplicatedSinceNanos monotonic time in nanoseconds since which a model lacks replicas
 * @param pendingOrders orders without a result
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

  /** State of the platform's table as the lease shows it. */
  enum StoreState {
    AVAILABLE,
    UNAVAILABLE
  }

  /**
   * Order without a result.
   *
   * @param endpoint endpoint that was ordered to load
   * @param model model to load
   * @param layers layers to load
   * @param sentNanos monotonic time at which it was sent, in nanoseconds
   */
  record PendingOrder(EndpointId endpoint, ModelId model, LayerRange layers, long sentNanos) {}
}
