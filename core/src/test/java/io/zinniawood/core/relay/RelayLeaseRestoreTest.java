package io.zinniawood.core.relay;

import static io.zinniawood.core.relay.RelayStoreRestoreTest.version;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests lease, fencing numbers and presence of a relay whose store comes back from a copy. */
final class RelayLeaseRestoreTest {
  private static final VmId SELF = new VmId("relay-1");
  private static final VmId PEER = new VmId("relay-0");
  private static final NodeAddress PEER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);
  private static final long LEASE_MILLIS = 4_000;

  private final RelayHarness relay = new RelayHarness();
  private LeaseRow held;

  private void leaseRead(Option<LeaseRow> row, long era, long number) {
    relay.post(new RelayEvent.LeaseRead(row, version(era, number)));
  }

  private void changeEra(long era) {
    relay.post(new RelayEvent.EndpointsListed(List.of(), version(era, 50), relay.storeMillis()));
  }

  private void presences(Map<VmId, PresenceRow> rows) {
    relay.post(new RelayEvent.PresencesRead(rows));
  }

  private void receive(long era, Optional<LeaseNotice> lease) {
    relay.post(
        new RelayEvent.PeerMessageReceived(
            new PeerMessage(
                PEER,
                version(era, 0).era(),
                true,
                0,
                1,
                0,
                lease,
                Optional.empty(),
                QuarantineNotice.EMPTY,
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            PEER_ADDRESS));
  }

  @BeforeEach
  void takeLeaseInFirstEra() {
    changeEra(0);
    presences(Map.of(PEER, new PresenceRow(version(0, 7), Optional.of(PEER_ADDRESS))));
    leaseRead(Option.none(), 0, 0);
    held = relay.lastEffect(RelayEffect.WriteLease.class).row();
    leaseRead(Option.some(held), 0, 90);
    assertThat(relay.state().holdsLease(), is(true));
  }

  // Another relay may take the lease from the copy at once; two holders would both give orders.
  @Test
  void holderGivesUpLeaseWhenEraChanges() {
    changeEra(1);
    assertThat(relay.state().holdsLease(), is(false));
    leaseRead(Option.some(held), 1, 40);
    assertThat("its own row of the copy is no lease", relay.state().holdsLease(), is(false));
  }

  // The row may be lost, and its holder may not have seen the new era yet.
  @Test
  void leaseWithoutRowIsTakenOnlyAfterLeaseTimeInNewEra() {
    changeEra(1);
    int before = relay.effectsOf(RelayEffect.WriteLease.class).size();
    leaseRead(Option.none(), 1, 0);
    assertThat(relay.effectsOf(RelayEffect.WriteLease.class), hasSize(before));
    relay.advanceMillis(LEASE_MILLIS);
    leaseRead(Option.none(), 1, 0);
    assertThat(relay.effectsOf(RelayEffect.WriteLease.class), hasSize(before + 1));
  }

  // A number that is given out twice lets late orders of the former holder through.
  @Test
  void fencingNumberOfNewEraIsAboveAllOfFormerEras() {
    long highest = 50;
    leaseRead(Option.some(new LeaseRow(PEER, new FencingNumber(highest), 3)), 0, 200);
    changeEra(1);
    leaseRead(Option.some(new LeaseRow(PEER, new FencingNumber(2), 3)), 1, 40);
    relay.advanceMillis(LEASE_MILLIS);
    leaseRead(Option.some(new LeaseRow(PEER, new FencingNumber(2), 3)), 1, 40);
    long own = relay.lastEffect(RelayEffect.WriteLease.class).row().fencingNumber().value();
    assertThat(own, greaterThan(highest));

    RelayHarness started = new RelayHarness();
    started.post(new RelayEvent.EndpointsListed(List.of(), version(1, 50), started.storeMillis()));
    started.advanceMillis(LEASE_MILLIS);
    started.post(new RelayEvent.LeaseRead(Option.none(), version(1, 0)));
    assertThat(
        "a relay that never saw the former era",
        started.lastEffect(RelayEffect.WriteLease.class).row().fencingNumber().value(),
        greaterThan(highest));
  }

  // A renewal from before the restore may still be carried out, as versions are given out again.
  @Test
  void lateWriteOfFormerEraDoesNotMakeHolder() {
    relay.advanceMillis(1_400);
    LeaseRow renewal = relay.lastEffect(RelayEffect.WriteLease.class).row();
    leaseRead(Option.some(renewal), 1, 91);
    assertThat(relay.state().holdsLease(), is(false));
  }

  // The endpoints remember numbers that the store has forgotten.
  @Test
  void holderWhoseNumberIsTooLowAcquiresLeaseWithHigherOne() {
    relay.post(new RelayEvent.OrderAnswered(new EndpointId("e"), OrderResult.FENCED));
    assertThat(relay.state().holdsLease(), is(false));
    relay.advanceMillis(LEASE_MILLIS);
    leaseRead(Option.some(held), 0, 90);
    assertThat(
        relay.lastEffect(RelayEffect.WriteLease.class).row().fencingNumber().value(),
        greaterThan(held.fencingNumber().value()));
  }

  // Versions of lease notices are comparable only within one era.
  @Test
  void leaseNoticeOfAnotherEraIsIgnored() {
    changeEra(1);
    leaseRead(Option.some(new LeaseRow(PEER, new FencingNumber(1_048_577), 3)), 1, 40);
    receive(0, Optional.of(new LeaseNotice(held.fencingNumber(), 9, version(0, 500))));
    assertThat(relay.state().lease.version(), is(40L));
  }

  // Relays whose rows the copy lacks are known again only after they have written them.
  @Test
  void presenceIsWrittenAtOnceInNewEra() {
    relay.advanceMillis(3_000);
    int before = relay.effectsOf(RelayEffect.WritePresence.class).size();
    changeEra(1);
    relay.advanceMillis(5);
    assertThat(relay.effectsOf(RelayEffect.WritePresence.class), hasSize(before + 1));
  }

  // A relay that lives must not be forgotten because the copy is from before its start.
  @Test
  void liveRelayMissingInCopyStaysKnown() {
    receive(0, Optional.empty());
    changeEra(1);
    presences(Map.of(SELF, new PresenceRow(version(1, 8), Optional.empty())));
    receive(1, Optional.empty());
    assertThat(
        relay.effectsOf(RelayEffect.LogDecision.class).stream()
            .filter(line -> line.decision().event().equals("peer-unknown"))
            .toList(),
        empty());
  }
}
