package io.zinniawood.entry.internal.relay;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/** Chooses the entries of a data centre that poll the platform, by rendezvous hashing. */
final class PollerChoice {
  /** Two, so that one failure does not leave a data centre without a poller. */
  static final int POLLERS = 2;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PollerChoice() {}

  /** Returns the polling entries, highest rank first. */
  static Vector<VmEntry> pollers(Vector<VmEntry> vms, DataCentreId dataCentre) {
    return vms.filter(
            vm ->
                vm.role() == VmRole.ENTRY
                    && vm.state() == VmState.LIVE
                    && vm.dataCentre().equals(dataCentre))
        .sorted(
            Comparator.comparingLong((VmEntry vm) -> score(dataCentre, vm.vm()))
                .thenComparing(VmEntry::vm)
                .reversed())
        .take(POLLERS);
  }

  private static long score(DataCentreId dataCentre, VmId vm) {
    long hash = FNV_OFFSET;
    for (byte next : (dataCentre.value() + "/" + vm.value()).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (next & 0xff)) * FNV_PRIME;
    }
    // FNV changes the high bits little for ids that differ in the last letter only.
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    return hash ^ (hash >>> 33);
  }
}
