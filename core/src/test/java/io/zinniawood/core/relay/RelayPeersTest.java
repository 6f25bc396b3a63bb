package io.zinniawood.core.relay;

import static io.zinniawood.core.relay.RelayHarness.version;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a relay takes over from the messages of the relay that reads the store for it. */
final class RelayPeersTest {
  /** Comes before the tested relay, so that it reads the store first. */
  private static final VmId READER = new VmId("relay-0");

  private static final NodeAddress READER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);
  private static final long ROUTES_VERSION = 1;
  private static final long MESSAGE_INTERVAL_MILLIS = 250;

  /** Time for which the store has answered the reader, as its messages say. */
  private long steadyMillis;

  private final RelayHarness relay = new RelayHarness();
  private final FleetEndpoint endpoint = relay.plain("p");
  private StoreVersion version = version(1_000);

  @BeforeEach
  void startWithReader() {
    relay.post(new RelayEvent.EndpointsListed(List.of(endpoint), version, relay.storeMillis()));
    relay.post(
        new RelayEvent.PresencesRead(
            Map.of(READER, new PresenceRow(version(7), Optional.of(READER_ADDRESS)))));
    receive(read(0, List.of()));
  }

  private SharedRead read(long ageMillis, List<FleetEndpoint> changed) {
    StoreVersion after = version;
    version = version(after.number() + 10);
    return new SharedRead(
        after, version, relay.storeMillis() - ageMillis, changed, List.of(), List.of());
  }

  private void receive(SharedRead read) {
    receive(READER_ADDRESS, Optional.of(read), Optional.empty());
  }

  private void receive(NodeAddress sender, Optional<SharedRead> read, Optional<LeaseNotice> lease) {
    relay.post(
        new RelayEvent.PeerMessageReceived(
            new PeerMessage(
                READER,
                StoreEra.UNNAMED,
                true,
                steadyMillis,
                ROUTES_VERSION,
                0,
                lease,
                read,
                QuarantineNotice.EMPTY,
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            sender));
  }

  private int storeReads() {
    return relay.effectsOf(RelayEffect.ReadEndpointChanges.class).size()
        + relay.effectsOf(RelayEffect.ListEndpoints.class).size()
        + relay.effectsOf(RelayEffect.AwaitRoutes.class).size()
        + relay.effectsOf(RelayEffect.ReadRoutes.class).size();
  }

  private void readsAreSharedFor(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += MESSAGE_INTERVAL_MILLIS) {
      receive(read(0, List.of()));
      relay.advanceMillis(MESSAGE_INTERVAL_MILLIS);
    }
  }

  // Calls to the store are limited for all relays together.
  @Test
  void relayReadsNothingThatAnotherOneShares() {
    readsAreSharedFor(10_000);
    assertThat(storeReads(), is(0));
  }

  // The reader may die at any time; a draining endpoint must be noticed within two seconds.
  @Test
  void relayReadsItselfSoonAfterReaderFellSilent() {
    readsAreSharedFor(2_000);
    relay.advanceMillis(1_200);
    assertThat(relay.effectsOf(RelayEffect.ReadEndpointChanges.class), hasSize(1));
    assertThat(relay.effectsOf(RelayEffect.AwaitRoutes.class), hasSize(1));
  }

  // Datagrams get lost. The changes in a lost one are in no later one.
  @Test
  void relayReadsItselfAfterLostMessage() {
    read(0, List.of());
    receive(read(0, List.of()));
    relay.advanceMillis(25);
    RelayEffect.ReadEndpointChanges own = relay.lastEffect(RelayEffect.ReadEndpointChanges.class);
    assertThat(own.afterVersion(), is(version(1_010)));
  }

  // A reader that was suspended between its read and its message sends what it read before. Its own
  // clock did not advance meanwhile.
  @Test
  void answerHeldBackByPausedReaderDoesNotCountAsFresh() {
    relay.advanceMillis(400);
    receive(read(3_000, List.of()));
    relay.advanceMillis(400);
    assertThat(relay.effectsOf(RelayEffect.ReadEndpointChanges.class), hasSize(1));
  }

  // A draining endpoint gets no new work, whichever relay read that it is leaving.
  @Test
  void sharedReadStopsRequestsToDrainingEndpoint() {
    receive(
        read(
            0,
            List.of(
                relay
                    .endpoint("p", RelayHarness.PLAIN, Optional.empty(), true)
                    .withRowVersion(version(1_015)))));
    RelayRequestId id = relay.request("book");
    assertThat(relay.sends(id), empty());
    assertThat(relay.localAnswer(id).isPresent(), is(true));
  }

  // An older read that arrives late must not bring back an endpoint that has left.
  @Test
  void lateSharedReadDoesNotBringBackRemovedEndpoint() {
    SharedRead late = read(0, List.of(endpoint.withRowVersion(version(1_012))));
    SharedRead removal =
        new SharedRead(
            version(1_010),
            version(1_030),
            relay.storeMillis(),
            List.of(),
            List.of(),
            List.of(endpoint.id()));
    receive(removal);
    receive(late);
    RelayRequestId id = relay.request("book");
    assertThat(relay.sends(id), empty());
  }

  private SharedRead removal() {
    StoreVersion after = version;
    version = version(after.number() + 10);
    return new SharedRead(
        after, version, relay.storeMillis(), List.of(), List.of(), List.of(endpoint.id()));
  }

  private void cutOffFromStore() {
    RelayEvent failed = new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE);
    relay.post(failed);
    relay.post(failed);
  }

  // A relay that returned from a cut made the others use endpoints that had left for over 2 s.
  @Test
  void readerThatReturnedFromCutDoesNotDelayRemovals() {
    readsAreSharedFor(2_000);
    steadyMillis = 0;
    receive(removal());
    assertThat(relay.sends(relay.request("book")), empty());
  }

  // The same on the relay that was cut off, while the others read the store on.
  @Test
  void relayThatReturnsFromCutDropsRemovedEndpointOnceItHearsOfSteadyReads() {
    cutOffFromStore();
    steadyMillis = 60_000;
    receive(removal());
    assertThat(relay.sends(relay.request("book")), empty());
  }

  // After an outage for all, entries that expired in it reappear; their endpoints stay in use.
  @Test
  void removedEndpointIsKeptAtFirstAfterOutageForAll() {
    cutOffFromStore();
    steadyMillis = 100;
    receive(removal());
    assertThat(relay.sends(relay.request("book")), hasSize(1));
    relay.advanceMillis(2_200);
    assertThat(relay.sends(relay.request("book")), empty());
  }

  // A relay that has just started may get messages from before an endpoint left. It takes its list
  // from the store before it believes any of them.
  @Test
  void relayWithoutListOfItsOwnTakesNothingOver() {
    RelayHarness started = new RelayHarness();
    started.post(
        new RelayEvent.PresencesRead(
            Map.of(READER, new PresenceRow(version(7), Optional.of(READER_ADDRESS)))));
    started.post(
        new RelayEvent.PeerMessageReceived(
            new PeerMessage(
                READER,
                StoreEra.UNNAMED,
                true,
                0,
                ROUTES_VERSION,
                0,
                Optional.empty(),
                Optional.of(read(0, List.of(endpoint.withRowVersion(version(1_015))))),
                QuarantineNotice.EMPTY,
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            READER_ADDRESS));
    assertThat(started.state().endpoints(), is(0));
    started.advanceMillis(25);
    assertThat(started.effectsOf(RelayEffect.ListEndpoints.class), hasSize(1));
  }

  // Only relays that the store lists are believed.
  @Test
  void messageFromUnlistedAddressIsIgnored() {
    FleetEndpoint draining =
        relay
            .endpoint("p", RelayHarness.PLAIN, Optional.empty(), true)
            .withRowVersion(version(1_015));
    receive(
        new NodeAddress("10.0.1.66", 7_340),
        Optional.of(read(0, List.of(draining))),
        Optional.empty());
    assertThat(relay.sends(relay.request("book")), hasSize(1));
    assertThat(relay.effectsOf(RelayEffect.ReadLease.class), not(empty()));
  }

  // A holder that was paused learns from the messages of the new holder that it lost the lease.
  @Test
  void replacedHolderGivesNoOrders() {
    relay.post(new RelayEvent.LeaseRead(Option.none(), version(0)));
    LeaseRow own = relay.lastEffect(RelayEffect.WriteLease.class).row();
    relay.post(new RelayEvent.LeaseRead(Option.some(own), version(2_000)));
    receive(
        READER_ADDRESS,
        Optional.of(read(0, List.of(relay.empty("e").withRowVersion(version(1_015))))),
        Optional.of(
            new LeaseNotice(
                new FencingNumber(own.fencingNumber().value() + 1), 0, version(2_500))));
    relay.advanceMillis(1_000);
    assertThat(relay.effectsOf(RelayEffect.Order.class), empty());
  }

  // The renewals that the holder tells of keep the others from taking the lease; its silence lets
  // them take it.
  @Test
  void leaseIsTakenOnlyAfterHolderFellSilent() {
    relay.post(
        new RelayEvent.LeaseRead(
            Option.some(new LeaseRow(READER, new FencingNumber(3), 1)), version(2_000)));
    for (int renewal = 2; renewal < 12; renewal++) {
      receive(
          READER_ADDRESS,
          Optional.empty(),
          Optional.of(new LeaseNotice(new FencingNumber(3), renewal, version(2_000 + renewal))));
      relay.advanceMillis(1_300);
    }
    Option<LeaseRow> row = Option.some(new LeaseRow(READER, new FencingNumber(3), 11));
    relay.post(new RelayEvent.LeaseRead(row, version(2_011)));
    assertThat(relay.effectsOf(RelayEffect.WriteLease.class), empty());
    relay.advanceMillis(4_000);
    relay.post(new RelayEvent.LeaseRead(row, version(2_011)));
    assertThat(
        relay.lastEffect(RelayEffect.WriteLease.class).row().fencingNumber(),
        is(new FencingNumber(4)));
  }

  /** Returns the messages of a relay that reads 40 new entries, and a removal after them. */
  private static List<SharedRead> messagesOfLongRead(EndpointId removed, StoreVersion after) {
    RelayHarness reader = new RelayHarness();
    reader.post(
        new RelayEvent.PresencesRead(
            Map.of(new VmId("relay-2"), new PresenceRow(version(3), Optional.of(READER_ADDRESS)))));
    reader.post(new RelayEvent.EndpointsListed(List.of(), after, reader.storeMillis()));
    List<FleetEndpoint> changed = new ArrayList<>();
    for (int index = 0; index < 40; index++) {
      changed.add(reader.plain("p" + index).withRowVersion(version(after.number() + 1 + index)));
    }
    reader.post(
        new RelayEvent.EndpointsChanged(
            changed,
            List.of(new RemovedEntry(removed, version(after.number() + 50))),
            after,
            version(after.number() + 100),
            reader.storeMillis()));
    return reader.effectsOf(RelayEffect.SendToPeers.class).stream()
        .flatMap(sent -> sent.message().read().stream())
        .toList();
  }

  // All relays must end up with the same list, however the changes are split into messages.
  @Test
  void readerSendsWhatItReadInCompleteSteps() {
    StoreVersion known = version(100);
    int entries = 0;
    for (SharedRead read : messagesOfLongRead(new EndpointId("gone"), version(100))) {
      assertThat(read.afterVersion(), is(known));
      known = read.version();
      entries += read.changed().size();
    }
    assertThat(known, is(version(200)));
    assertThat(entries, is(40));
  }

  // A relay that had read on itself left out the first message of a long read as known. That
  // message held all removals, so it used a removed endpoint until the endpoint exited.
  @Test
  void removalOfLongReadReachesRelayThatHasReadOnItself() {
    List<SharedRead> messages = messagesOfLongRead(endpoint.id(), version(1_000));
    StoreVersion firstEnd = messages.get(0).version();
    receive(
        new SharedRead(version, firstEnd, relay.storeMillis(), List.of(), List.of(), List.of()));
    messages.forEach(this::receive);
    relay.state().fleet.all().forEach(known -> assertThat(known.id(), is(not(endpoint.id()))));
  }

  // An answer that came after messages with later changes set the version back and removed an
  // endpoint that had started again since.
  @Test
  void lateAnswerDoesNotRemoveEndpointThatHasStartedAgain() {
    receive(read(0, List.of(RelayHarness.restarted(endpoint, 2, version(1_018)))));
    relay.post(
        new RelayEvent.EndpointsChanged(
            List.of(),
            List.of(new RemovedEntry(endpoint.id(), version(1_012))),
            version(1_010),
            version(1_013),
            relay.storeMillis()));
    assertThat(relay.sends(relay.request("book")), hasSize(1));
  }

  // A change that the reader knew from another relay was told as a mere check-in. A relay that had
  // missed it kept the former state for good, here that of an endpoint that is not draining.
  @Test
  void checkInOfAnotherStateThanTheKnownOneMakesRelayReadTheStore() {
    FleetEndpoint draining =
        relay
            .endpoint("p", RelayHarness.PLAIN, Optional.empty(), true)
            .withRowVersion(version(1_015));
    receive(
        new SharedRead(
            version,
            version(1_020),
            relay.storeMillis(),
            List.of(),
            List.of(
                new SharedRead.Heartbeat(endpoint.id(), 0, version(1_015), draining.contentHash())),
            List.of()));
    relay.advanceMillis(5);
    assertThat(relay.lastEffect(RelayEffect.ReadEndpointChanges.class).afterVersion(), is(version));
  }
}
