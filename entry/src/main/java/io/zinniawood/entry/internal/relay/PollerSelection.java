package io.zinniawood.entry.internal.relay;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.membership.EntryRanking;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.model.VmEntry;

/** Selects the entries of a data centre that poll the platform. */
final class PollerSelection {
  /** Two, so that the failure of one entry does not leave a data centre without a poller. */
  static final int POLLERS_PER_DATA_CENTRE = 2;

  private PollerSelection() {}

  /** Returns the pollers, in descending order of rank. */
  static Vector<VmEntry> pollers(Vector<VmEntry> vms, DataCentreId dataCentre) {
    return EntryRanking.highestRanked(vms, dataCentre, POLLERS_PER_DATA_CENTRE);
  }
}
