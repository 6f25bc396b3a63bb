package io.zinniawood.config.settings;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;

/**
 * Settings of a relay.
 *
 * @param vm id of the VM
 * @param dataCentre data centre of the VM
 * @param callers address for callers
 * @param admin address for readiness and metrics
 * @param store address of the platform's store
 * @param firstStart whether the whole system starts for the first time
 */
public record RelaySettings(
    VmId vm,
    DataCentreId dataCentre,
    NodeAddress callers,
    NodeAddress admin,
    NodeAddress store,
    FirstStart firstStart) {
  /** Whether the whole system starts for the first time; layers are then loaded all at once. */
  public enum FirstStart {
    /** It starts for the first time. */
    TRUE,
    /** It has run before. */
    FALSE
  }
}
