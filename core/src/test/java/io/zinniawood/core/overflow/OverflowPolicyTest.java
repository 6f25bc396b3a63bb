package io.zinniawood.core.overflow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.id.DataCentreId;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class OverflowPolicyTest {
  private static final DataCentreId HOME = new DataCentreId("a");
  private static final DataCentreId B = new DataCentreId("b");
  private static final DataCentreId C = new DataCentreId("c");
  private static final LinkCondition GOOD = new LinkCondition(0, 2_600, OptionalDouble.of(2_600));
  private static final double STEP_CHANGE = 0.025 + 1e-9;

  private final OverflowPolicy policy = new OverflowPolicy();
  private long nowNanos = 1;

  private static RemoteDataCentre other(
      DataCentreId centre, double freeTokens, long ageMillis, LinkCondition link) {
    return new RemoteDataCentre(
        new DataCentreRoom(centre, 90_000, freeTokens, 0, ageMillis), link, freeTokens);
  }

  private OverflowDecision decide(
      double homeCapacity, double homeFree, double waitMillis, RemoteDataCentre... others) {
    nowNanos += 100_000_000;
    DataCentreRoom home = new DataCentreRoom(HOME, homeCapacity, homeFree, 0, 0);
    return policy.update(
        new OverflowInputs(home, List.of(others), 900, waitMillis, 500, 3), nowNanos);
  }

  private OverflowDecision decideTimes(int times, double waitMillis, RemoteDataCentre... others) {
    OverflowDecision last = decide(90_000, 0, waitMillis, others);
    for (int index = 1; index < times; index++) {
      last = decide(90_000, 0, waitMillis, others);
    }
    return last;
  }

  // Guards against requests that are refused at home while other data centres have room, against
  // guests that crowd out others, and against shares that jump or swing.
  @Test
  void requestsLeaveWhileDemandIsDoubled() {
    OverflowSimulation simulation = new OverflowSimulation(0);
    simulation.runSeconds(5);
    assertThat(simulation.relays.get(0).last().totalShare(), equalTo(0.0));
    simulation.zones.get(0).arrivalsPerSecond = 34;
    checkShortage(simulation);
    simulation.zones.get(0).arrivalsPerSecond = 17;
    checkReturn(simulation);
  }

  // Guards against a data centre that keeps all requests after it lost half of its endpoints.
  @Test
  void requestsLeaveWhileEndpointsAreHalved() {
    OverflowSimulation simulation = new OverflowSimulation(0);
    simulation.runSeconds(5);
    simulation.zones.get(0).capacity = 45;
    checkShortage(simulation);
    simulation.zones.get(0).capacity = 90;
    checkReturn(simulation);
  }

  private static void checkShortage(OverflowSimulation simulation) {
    // A share needs up to 4 s to rise, after the 2 s in which the free memory fills.
    simulation.runSeconds(8);
    int refused = simulation.zones.get(0).refused;
    simulation.runSeconds(12);
    assertThat("refused later", simulation.zones.get(0).refused - refused, equalTo(0));
    checkOthers(simulation);
  }

  private static void checkOthers(OverflowSimulation simulation) {
    for (OverflowSimulation.Zone zone : simulation.zones.subList(1, 3)) {
      assertThat("refused elsewhere", zone.refused, equalTo(0));
      for (double[] figures : zone.figures) {
        assertThat("guests", figures[2], lessThanOrEqualTo(figures[1] + 1));
      }
    }
  }

  private static void checkReturn(OverflowSimulation simulation) {
    OverflowSimulation.Relay relay = simulation.relays.get(0);
    int start = relay.decisions.size();
    simulation.runSeconds(20);
    List<OverflowDecision> decisions = relay.decisions;
    assertThat(relay.last().totalShare(), equalTo(0.0));
    for (int index = 1; index < decisions.size(); index++) {
      double before = decisions.get(index - 1).totalShare();
      double after = decisions.get(index).totalShare();
      if (!decisions.get(index).shares().isEmpty()) {
        assertThat("change", Math.abs(after - before), lessThanOrEqualTo(STEP_CHANGE));
      }
      // The queue at home needs up to 2 s to empty.
      if (index > start + 20) {
        assertThat("rise after the shortage", after, lessThanOrEqualTo(before));
      }
    }
  }

  // Guards against relays with figures of different age that together overload a data centre.
  @Test
  void relaysWithDifferentFiguresDoNotOverloadOthers() {
    OverflowSimulation simulation = new OverflowSimulation(0, 10);
    simulation.runSeconds(5);
    simulation.zones.get(0).arrivalsPerSecond = 34;
    simulation.runSeconds(30);
    for (OverflowSimulation.Zone zone : simulation.zones.subList(1, 3)) {
      assertThat("refused elsewhere", zone.refused, equalTo(0));
      assertThat("had guests", zone.figures.stream().anyMatch(seen -> seen[2] > 0), equalTo(true));
    }
    simulation.zones.get(0).arrivalsPerSecond = 17;
    simulation.runSeconds(20);
    for (OverflowSimulation.Relay relay : simulation.relays) {
      assertThat(relay.last().totalShare(), equalTo(0.0));
    }
  }

  // Guards against prompts that cross a link which is cut or slow.
  @Test
  void slowLinkEndsCrossingsAtOnce() {
    RemoteDataCentre good = other(C, 1_000, 0, GOOD);
    assertThat(
        decide(0, 0, 400, other(B, 1_000, 0, GOOD), good).crossings(), equalTo(Set.of(B, C)));
    LinkCondition third = new LinkCondition(0, 2_600, OptionalDouble.of(2_600 / 3.0));
    assertThat(decide(0, 0, 400, other(B, 1_000, 0, third), good).crossings(), equalTo(Set.of(C)));
    LinkCondition backlog = new LinkCondition(151, 2_600, OptionalDouble.empty());
    assertThat(
        decide(0, 0, 400, other(B, 1_000, 0, backlog), good).crossings(), equalTo(Set.of(C)));
  }

  // Guards against requests that leave for nothing, and against paths that cross where whole ones
  // have room.
  @Test
  void nobodyLeavesIfAllAreFull() {
    OverflowDecision shortage = decideTimes(20, 400, other(B, 90_000, 0, GOOD));
    assertThat(shortage.totalShare(), greaterThan(0.4));
    assertThat(shortage.crossings(), empty());
    OverflowDecision full = decide(90_000, 0, 400, other(B, 800, 0, GOOD), other(C, 0, 0, GOOD));
    assertThat(full.shares(), anEmptyMap());
    assertThat(full.crossings(), empty());
    assertThat(full.reason(), equalTo(OverflowReason.NO_ROOM_ELSEWHERE));
  }

  // Guards against decisions on what was free seconds ago.
  @Test
  void figuresThatAreTooOldCountAsNoRoom() {
    decideTimes(20, 400, other(B, 90_000, 0, GOOD));
    OverflowDecision old = decide(90_000, 0, 400, other(B, 90_000, 10_000, GOOD));
    assertThat(old.shares(), anEmptyMap());
    assertThat(old.crossings(), empty());
    assertThat(old.reason(), equalTo(OverflowReason.FIGURES_TOO_OLD));
  }

  // Guards against requests that are refused while a lost data centre waits for its share to rise.
  @Test
  void dataCentreWithoutPathIsLeftAtOnceByRoom() {
    OverflowDecision lost = decide(0, 0, 0, other(B, 60_000, 0, GOOD), other(C, 20_000, 0, GOOD));
    assertThat(lost.shares(), equalTo(Map.of(B, 0.75, C, 0.25)));
    assertThat(lost.reason(), equalTo(OverflowReason.NO_PATH_AT_HOME));
    OverflowDecision back =
        decide(90_000, 90_000, 0, other(B, 60_000, 0, GOOD), other(C, 20_000, 0, GOOD));
    assertThat(back.totalShare(), closeTo(0.95, 0.025 + 1e-9));
  }

  // Guards against bytes that cost more than the wait that they save.
  @Test
  void priceKeepsRequestsAtHome() {
    OverflowInputs dear =
        new OverflowInputs(
            new DataCentreRoom(HOME, 90_000, 0, 0, 0),
            List.of(other(B, 90_000, 0, GOOD)),
            900,
            200,
            500,
            250);
    policy.update(dear, 100_000_000);
    assertThat(policy.update(dear, 1_100_000_000).totalShare(), equalTo(0.0));
  }
}
