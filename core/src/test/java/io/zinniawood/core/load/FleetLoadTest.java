package io.zinniawood.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests what a relay believes of the load of all relays. */
final class FleetLoadTest {
  private static final VmId OTHER = new VmId("relay-2");
  private static final VmId THIRD = new VmId("relay-3");

  private final FleetLoad load = new FleetLoad();
  private final LoadedFleet own = new LoadedFleet(4).load(0, 2);
  private final OwnLoad otherLoad = new OwnLoad(2);
  private final LoadedFleet others = new LoadedFleet(4);
  private final List<Double> transfers = new ArrayList<>();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void receive(VmId relay, LoadNotice notice, long atMillis) {
    load.noticeReceived(
        relay, notice, millis(atMillis), (link, transferred) -> transfers.add(transferred));
  }

  private LoadNotice otherNotice(long atMillis) {
    return otherLoad.nextNotice(List.of(others.service()), 1, millis(atMillis)).orElseThrow();
  }

  private double requestsAt(int index, int relays, long atMillis) {
    return load.at(own.endpoints.get(index), relays, millis(atMillis)).requests();
  }

  // Guards against an estimate from own requests where others have told different figures.
  @Test
  void toldFiguresReplaceTheEstimateForTheirRelayOnly() {
    others.load(1, 5);
    receive(OTHER, otherNotice(0), 0);
    assertThat(requestsAt(0, 3, 10), is(2.0 * 2));
    assertThat(requestsAt(1, 3, 10), is(5.0));
    EndpointLoad second = load.at(own.endpoints.get(1), 2, millis(10));
    assertThat(second, is(new EndpointLoad(5, 5 * 640, 5 * 320)));
  }

  // Guards against figures that count for ever once notices are lost.
  @Test
  void figuresExpireTwoSecondsAfterTheyWereHeard() {
    receive(OTHER, otherNotice(0), 0);
    assertThat(requestsAt(0, 2, 1_999), is(2.0));
    assertThat(requestsAt(0, 2, 2_000), is(2.0 * 2));
    assertThat(load.relaysWithFigures(), is(0));
  }

  // Guards against old figures of single endpoints while notices about others arrive.
  @Test
  void figuresOfOneEndpointExpireAlone() {
    LoadNotice both = otherNotice(0);
    others.load(1, 5);
    receive(OTHER, both, 0);
    receive(OTHER, otherNotice(250), 250);
    LoadNotice totalsOnly =
        new LoadNotice(
            both.startNumber(),
            3,
            List.of(
                new ServiceLoad(
                    both.services().get(0).service(), LoadFigures.NONE, 4, 0, List.of())),
            List.of());
    receive(OTHER, totalsOnly, 1_500);
    assertThat(requestsAt(1, 2, 2_249), is(5.0));
    assertThat(requestsAt(1, 2, 2_250), is(0.0));
  }

  // Guards against the load of a process that has ended being counted beside that of its successor.
  @Test
  void firstNoticeOfNewStartReplacesFigures() {
    others.load(1, 5);
    LoadNotice before = otherNotice(0);
    receive(OTHER, before, 0);
    receive(OTHER, otherNotice(250), 250);
    OwnLoad restarted = new OwnLoad(99);
    LoadedFleet empty = new LoadedFleet(4);
    receive(OTHER, restarted.nextNotice(List.of(empty.service()), 1, 0).orElseThrow(), 500);
    assertThat(requestsAt(1, 2, 501), is(0.0));
    receive(OTHER, before, 502);
    assertThat("late notice of the former start", requestsAt(1, 2, 503), is(0.0));
  }

  // Guards against a datagram that overtook a newer one.
  @Test
  void overtakenNoticeIsIgnored() {
    LoadNotice earlier = otherNotice(0);
    others.load(1, 5);
    LoadNotice later = otherNotice(250);
    receive(OTHER, later, 250);
    receive(OTHER, earlier, 251);
    receive(OTHER, later, 252);
    assertThat(requestsAt(1, 2, 253), is(5.0));
  }

  // Guards against figures of a departed relay that stay beside the smaller number of live relays.
  @Test
  void departedRelayCountsUntilItsFiguresExpire() {
    others.load(1, 5);
    receive(OTHER, otherNotice(0), 0);
    OwnLoad third = new OwnLoad(3);
    receive(THIRD, third.nextNotice(List.of(others.service()), 1, 0).orElseThrow(), 1_900);
    assertThat(requestsAt(1, 3, 1_950), is(10.0));
    assertThat(requestsAt(1, 2, 2_000), is(5.0));
  }

  // Guards against endpoints that look idle as a notice had no room to name them.
  @Test
  void unnamedRestOfTotalsIsDividedEvenly() {
    int service = LoadHashes.of(LoadedFleet.SERVICE);
    EndpointFigures named =
        new EndpointFigures(own.endpoints.get(1).loadHash(), new LoadFigures(4, 40, 20));
    ServiceLoad told = new ServiceLoad(service, new LoadFigures(10, 100, 50), 4, 3, List.of(named));
    receive(OTHER, new LoadNotice(7, 1, List.of(told), List.of()), 0);
    assertThat(requestsAt(1, 2, 1), is(4.0));
    assertThat(requestsAt(2, 2, 1), closeTo(2, 1e-9));
    assertThat(requestsAt(0, 2, 1), closeTo(2 + 2, 1e-9));
    assertThat(load.unseenArrivals(LoadedFleet.SERVICE, 2, millis(500)), closeTo(1.5, 1e-6));
  }

  // Guards against a busy endpoint that looks idle when its figures expire before they are
  // repeated.
  @Test
  void expiredFiguresDivideTheRestOfTheTotals() {
    int service = LoadHashes.of(LoadedFleet.SERVICE);
    EndpointFigures busy =
        new EndpointFigures(own.endpoints.get(1).loadHash(), new LoadFigures(8, 80, 0));
    LoadFigures totals = new LoadFigures(10, 100, 0);
    receive(
        OTHER,
        new LoadNotice(
            7, 1, List.of(new ServiceLoad(service, totals, 3, 0, List.of(busy))), List.of()),
        0);
    receive(
        OTHER,
        new LoadNotice(7, 2, List.of(new ServiceLoad(service, totals, 3, 0, List.of())), List.of()),
        1_500);
    assertThat(requestsAt(1, 2, 2_100), closeTo(10 * 8 / 8.5, 1e-9));
    assertThat(requestsAt(2, 2, 2_100), closeTo(10 * 0.25 / 8.5, 1e-9));
    LoadFigures fewer = new LoadFigures(4, 40, 0);
    receive(
        OTHER,
        new LoadNotice(7, 3, List.of(new ServiceLoad(service, fewer, 3, 0, List.of())), List.of()),
        2_500);
    assertThat(requestsAt(1, 2, 2_600), closeTo(4 * 8 / 8.5, 1e-9));
    assertThat(requestsAt(2, 2, 2_600), closeTo(4 * 0.25 / 8.5, 1e-9));
  }

  // Guards against transfers that are lost with a notice, or counted twice.
  @Test
  void transfersSinceTheLastHeardNoticeAreCountedOnce() {
    DataCentreId home = new DataCentreId("home");
    DataCentreId away = new DataCentreId("away");
    otherLoad.transferred(home, away, 65_500);
    receive(OTHER, otherNotice(0), 0);
    assertThat("age unknown", transfers, is(List.of()));
    otherLoad.transferred(home, away, 30);
    otherNotice(250);
    otherLoad.transferred(home, away, 20);
    LoadNotice second = otherNotice(500);
    receive(OTHER, second, 500);
    receive(OTHER, second, 501);
    assertThat(transfers, is(List.of(50.0)));
  }
}
