package io.zinniawood.entry.internal.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import org.junit.jupiter.api.Test;

class PollerSelectionTest {
  private static final DataCentreId DATA_CENTRE = new DataCentreId("helsinki-a");

  private static VmEntry vm(int number, VmRole role, VmState state, String dataCentre) {
    return new VmEntry(
        new VmId("entry-" + number),
        role,
        state,
        new DataCentreId(dataCentre),
        new PoolId("p"),
        new NodeAddress("127.0.0.1", 9_000));
  }

  private static Vector<VmEntry> live(int count) {
    return Vector.range(1, count + 1)
        .map(number -> vm(number, VmRole.ENTRY, VmState.LIVE, "helsinki-a"));
  }

  // Guards against entries that select different pollers from the same VMs in another order.
  @Test
  void selectionDoesNotDependOnListOrder() {
    Vector<VmEntry> pollers = PollerSelection.pollers(live(20), DATA_CENTRE);
    assertThat(pollers.size(), equalTo(2));
    assertThat(PollerSelection.pollers(live(20).reverse(), DATA_CENTRE), equalTo(pollers));
  }

  // Guards against a change of the pollers when another entry leaves, and against a change of the
  // second poller when the first leaves.
  @Test
  void pollersStayWhenOtherEntriesLeave() {
    Vector<VmEntry> pollers = PollerSelection.pollers(live(20), DATA_CENTRE);
    VmEntry other = live(20).removeAll(pollers).head();
    assertThat(PollerSelection.pollers(live(20).remove(other), DATA_CENTRE), equalTo(pollers));
    assertThat(
        PollerSelection.pollers(live(20).remove(pollers.head()), DATA_CENTRE).head(),
        equalTo(pollers.last()));
  }

  // Guards against the selection of endpoints, leaving VMs and entries of other data centres.
  @Test
  void onlyLiveEntriesOfTheDataCentreAreSelected() {
    Vector<VmEntry> vms =
        Vector.of(
            vm(1, VmRole.ENDPOINT, VmState.LIVE, "helsinki-a"),
            vm(2, VmRole.ENTRY, VmState.LEAVING, "helsinki-a"),
            vm(3, VmRole.ENTRY, VmState.LIVE, "tampere"));
    assertThat(PollerSelection.pollers(vms, DATA_CENTRE).isEmpty(), equalTo(true));
  }

  // Guards against a hash that selects the same VM id in every data centre.
  @Test
  void selectionDiffersBetweenDataCentres() {
    Vector<VmEntry> vms =
        Vector.range(0, 400)
            .map(number -> vm(number % 20, VmRole.ENTRY, VmState.LIVE, "dc-" + number / 20));
    HashSet<VmId> first =
        HashSet.range(0, 20)
            .map(
                number ->
                    PollerSelection.pollers(vms, new DataCentreId("dc-" + number)).head().vm());
    assertThat(first.size(), greaterThan(8));
  }
}
