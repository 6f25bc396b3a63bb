package io.zinniawood.core.entry.membership;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.util.Comparator;

/** Ranks the entries of a data centre by rendezvous hashing, with the same result on every node. */
public final class EntryRanking {
  private EntryRanking() {}

  /**
   * Returns the live entries with the highest rank, highest first.
   *
   * @param dataCentre data centre whose entries are ranked
   * @param count maximum number of entries to return
   */
  public static Vector<VmEntry> highestRanked(
      Vector<VmEntry> vms, DataCentreId dataCentre, int count) {
    long salt = Hashing.of(dataCentre.value());
    return vms.filter(
            vm ->
                vm.role() == VmRole.ENTRY
                    && vm.state() == VmState.LIVE
                    && vm.dataCentre().equals(dataCentre))
        .sorted(
            Comparator.comparingLong(
                    (VmEntry vm) -> Hashing.combine(salt, Hashing.of(vm.vm().value())))
                .thenComparing(VmEntry::vm)
                .reversed())
        .take(count);
  }
}
