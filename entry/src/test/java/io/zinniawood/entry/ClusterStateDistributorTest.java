package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Ends a test that hangs; no assertion depends on this time.
@Timeout(60)
class ClusterStateDistributorTest {
  private static VmEntry vm(int number, String dataCentre) {
    return new VmEntry(
        new VmId("entry-" + number),
        VmRole.ENTRY,
        VmState.LIVE,
        new DataCentreId(dataCentre),
        new PoolId("entries"),
        new NodeAddress("127.0.0.1", 9_100 + number));
  }

  private static EntryHarness start(Vector<VmEntry> vms, LongSupplier clockNanos) {
    FakePlatform platform = new FakePlatform();
    platform.vms = vms;
    EntryHarness entry = new EntryHarness(platform, event -> Vector.empty(), clockNanos);
    vms.forEach(vm -> entry.wire.peersByAddress.put(vm.address(), FakeWire.entry(vm.vm().value())));
    return entry.awaitReady();
  }

  // With these entries, entry-1 is not among the two highest-ranked ones and so does not poll.
  private static Vector<VmEntry> vmListWithFollower() {
    return Vector.range(1, 40).map(number -> vm(number, "helsinki-a"));
  }

  private static void assertNoOlderList(EntryHarness entry, long version) {
    entry.events.stream()
        .filter(EntryEvent.VmListReceived.class::isInstance)
        .map(EntryEvent.VmListReceived.class::cast)
        .forEach(event -> assertThat(event.version(), greaterThan(version)));
  }

  // Guards against every entry polling the platform, which would exceed its rate limit. The clock
  // is fixed, so the pollers never count as silent.
  @Test
  void followerStopsPollingAndUsesTheListOfItsPollers() throws InterruptedException {
    try (EntryHarness entry = start(vmListWithFollower(), () -> 0)) {
      FakeWire.FakeConnection first = entry.wire.connections.take();
      FakeWire.FakeConnection second = entry.wire.connections.take();
      EntryHarness.await(() -> entry.platform.followCalls.get() > 0);
      int polls = entry.platform.vmListReads.get();
      int follows = entry.platform.followCalls.get();
      first.receive(new Message.VmListSnapshot(5, vmListWithFollower()), 1);
      second.receive(new Message.VmListSnapshot(3, vmListWithFollower()), 1);
      first.receive(new Message.VmListSnapshot(6, vmListWithFollower().take(20)), 1);
      EntryEvent.VmListReceived received = entry.awaitEvent(EntryEvent.VmListReceived.class);
      while (received.version() != 6) {
        assertThat(received.version(), not(equalTo(3L)));
        received = entry.awaitEvent(EntryEvent.VmListReceived.class);
      }
      EntryHarness.await(() -> entry.platform.followCalls.get() > follows + 5);
      assertThat(entry.platform.vmListReads.get(), equalTo(polls));
      assertNoOlderList(entry, 6);
    }
  }

  // Guards against followers that get no further VM lists after both pollers are lost.
  @Test
  void followerPollsAgainWhenItsPollersAreSilent() throws InterruptedException {
    try (EntryHarness entry = start(vmListWithFollower(), System::nanoTime)) {
      entry.wire.connections.take();
      entry.wire.connections.take();
      int polls = entry.platform.vmListReads.get();
      EntryHarness.await(() -> entry.platform.vmListReads.get() > polls + 2);
    }
  }

  // Guards against a poller that does not pass the list and the configuration on to its followers.
  @Test
  void pollerSendsListAndConfigurationToFollowers() throws InterruptedException {
    try (EntryHarness entry =
        start(Vector.of(vm(1, "helsinki-a"), vm(9, "tampere")), System::nanoTime)) {
      entry.awaitEvent(EntryEvent.VmListReceived.class);
      FakeWire.FakeConnection follower = entry.wire.accept(FakeWire.entry("entry-5"));
      assertThat(follower.sent.take(), equalTo(new Message.VmListSnapshot(1, entry.platform.vms)));
      assertThat(
          follower.sent.take(), equalTo(new Message.ConfigurationRequest(new Generation(1))));
      follower.receive(new Message.ConfigurationRequest(new Generation(0)), 0);
      Message answer = follower.sent.take();
      while (answer instanceof Message.ConfigurationRequest) {
        answer = follower.sent.take();
      }
      assertThat(answer, equalTo(FakePlatform.snapshot(1)));
      assertThat(entry.wire.connections.isEmpty(), equalTo(true));
    }
  }
}
