package io.zinniawood.config.settings;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.SchedulingSettings;
import java.util.Optional;

/**
 * Settings of a relay process.
 *
 * @param vm id of the VM
 * @param dataCentre data centre of the VM
 * @param callers listen address of the HTTP port for callers
 * @param admin listen address of the HTTP port for readiness and metrics
 * @param store address of the platform's store
 * @param peers UDP address for messages of other relays; empty to exchange none
 * @param firstStart whether the whole system, not only this process, starts for the first time
 * @param gracePeriodMillis time from the termination request until the process is killed, in
 *     milliseconds
 * @param scheduling modes of the decisions on scarce capacity
 */
public record RelaySettings(
    VmId vm,
    DataCentreId dataCentre,
    NodeAddress callers,
    NodeAddress admin,
    NodeAddress store,
    Optional<NodeAddress> peers,
    FirstStart firstStart,
    long gracePeriodMillis,
    SchedulingSettings scheduling) {
  /**
   * Whether the whole system starts for the first time. On a first start all layers are loaded at
   * once.
   */
  public enum FirstStart {
    /** The system starts for the first time. */
    TRUE,
    /** The system has run before. */
    FALSE
  }
}
