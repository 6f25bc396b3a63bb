package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import io.zinniawood.core.fleet.FleetEndpoint;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RelayOverflowTest {
  /** Requests of 700 tokens that fit in 0.95 of the 100,000 tokens of an endpoint. */
  private static final int FIT = 134;

  private static RelayHarness relay(SchedulingSettings.Mode overflow) {
    SchedulingSettings.Mode off = SchedulingSettings.Mode.OFF;
    return new RelayHarness(new SchedulingSettings(off, off, off, off, overflow, off, 0));
  }

  private static List<String> paths(RelayHarness relay, int requests) {
    List<String> paths = new ArrayList<>();
    for (int index = 0; index < requests; index++) {
      RelayRequestId id = relay.request("stream", 20_000);
      paths.addAll(
          relay.sends(id).stream()
              .map(send -> PathFormatter.format(send.options().path().orElseThrow()))
              .toList());
    }
    return paths;
  }

  private static RelayHarness with(SchedulingSettings.Mode overflow, FleetEndpoint... endpoints) {
    RelayHarness relay = relay(overflow);
    relay.list(endpoints);
    relay.tickAfterMillis(5);
    return relay;
  }

  // Guards against requests that leave, or prompts that cross a link, while a path at home is free.
  @Test
  void requestsStayWhileTheirDataCentreHasRoom() {
    RelayHarness maker = relay(SchedulingSettings.Mode.ON);
    FleetEndpoint[] endpoints = {
      maker.model("h1", 0, 10), maker.remoteModel("r1", 0, 10), maker.remoteModel("r2", 5, 10)
    };
    List<String> before = paths(with(SchedulingSettings.Mode.OFF, endpoints), FIT);
    List<String> decided = paths(with(SchedulingSettings.Mode.ON, endpoints), FIT);
    assertThat(decided, hasSize(FIT));
    assertThat(before.stream().anyMatch(path -> path.contains("r1")), equalTo(true));
    assertThat(decided.stream().filter(path -> path.contains("r")).toList(), hasSize(0));
  }

  // Guards against requests that have a path elsewhere and are kept waiting or refused.
  @Test
  void requestsLeaveFullDataCentreAndShareRises() {
    RelayHarness maker = relay(SchedulingSettings.Mode.ON);
    RelayHarness relay =
        with(
            SchedulingSettings.Mode.ON,
            maker.model("h1", 0, 10),
            maker.remoteModel("r1", 0, 10),
            maker.remoteModel("r2", 0, 10));
    assertThat(paths(relay, FIT + 20), hasSize(FIT + 20));
    relay.advanceMillis(500);
    assertThat(share(relay), closeTo(0.1, 0.026));
    assertThat(relay.state().overflowBytes(), greaterThan(20 * 15_000.0));
    assertThat(logged(relay), hasItem("overflow-share"));
  }

  // Guards against a path over two data centres, the only one left, that the policy takes away.
  @Test
  void onlyPathMayCross() {
    RelayHarness maker = relay(SchedulingSettings.Mode.ON);
    RelayHarness relay =
        with(SchedulingSettings.Mode.ON, maker.model("h", 0, 5), maker.remoteModel("r", 5, 10));
    assertThat(paths(relay, 1), hasItem(startsWith("h")));
    assertThat(relay.state().overflowBytes(), equalTo(700 * 10_000.0));
  }

  // Guards against a share that rises slowly while the own data centre offers no path.
  @Test
  void dataCentreWithoutPathIsLeftAtOnce() {
    RelayHarness maker = relay(SchedulingSettings.Mode.ON);
    RelayHarness relay =
        with(SchedulingSettings.Mode.ON, maker.model("h", 0, 5), maker.remoteModel("r", 0, 10));
    assertThat(share(relay), equalTo(1.0));
    assertThat(paths(relay, 3), equalTo(List.of("r=0-10", "r=0-10", "r=0-10")));
  }

  // Guards against decisions in services where the policy is off.
  @Test
  void nothingIsDecidedWhereThePolicyIsOff() {
    RelayHarness maker = relay(SchedulingSettings.Mode.OFF);
    RelayHarness relay = with(SchedulingSettings.Mode.OFF, maker.remoteModel("r", 0, 10));
    assertThat(paths(relay, 1), hasSize(1));
    assertThat(relay.state().overflowShares().size(), equalTo(0));
    assertThat(relay.state().overflowBytes(), equalTo(0.0));
  }

  private static double share(RelayHarness relay) {
    return relay.state().overflowShares().get(RelayHarness.MODEL).totalShare();
  }

  private static List<String> logged(RelayHarness relay) {
    return relay.effectsOf(RelayEffect.LogDecision.class).stream()
        .map(effect -> effect.decision().event())
        .toList();
  }
}
