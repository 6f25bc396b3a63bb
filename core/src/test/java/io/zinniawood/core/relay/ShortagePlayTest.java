package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays shortages with the rule from before and with the forecast and order. */
final class ShortagePlayTest {
  private static ShortagePlay play(SchedulingSettings.Mode mode, double demand) {
    ShortagePlay play = new ShortagePlay(mode);
    play.run(demand, 40_000);
    play.drain();
    return play;
  }

  // Guards against starved routes and accounts, late refusals and callers refused twice.
  @ParameterizedTest
  @ValueSource(doubles = {1.5, 3})
  void shortageIsSharedByUrgencyAndRefusalsAreImmediate(double demand) {
    ShortagePlay before = play(SchedulingSettings.Mode.OFF, demand);
    ShortagePlay now = play(SchedulingSettings.Mode.ON, demand);
    System.out.printf(
        "demand %.1f before: %s%ndemand %.1f now:    %s%n", demand, before, demand, now);

    double quarter = now.all.servedShare() / 4;
    assertThat(now.lowestAccountShare(), greaterThanOrEqualTo(quarter));
    double[] shares = now.byRoute.values().stream().mapToDouble(t -> t.servedShare()).toArray();
    for (int route = 0; route < shares.length; route++) {
      assertThat(shares[route], greaterThanOrEqualTo(quarter));
      if (route > 0) {
        assertThat(shares[route - 1], greaterThanOrEqualTo(shares[route] - 0.05));
      }
    }
    assertThat(now.all.lateRefusals, lessThanOrEqualTo(now.all.refusals / 100));
    for (ShortagePlay.Tally route : now.byRoute.values()) {
      // Fewer returns say nothing about a share.
      if (route.returned >= 50) {
        assertThat(
            route.returnsServedShare(), greaterThanOrEqualTo(route.firstServedShare() - 0.05));
      }
    }
  }

  // Guards against refusals that go on, and a reserve that stays unused, after a shortage.
  @Test
  void shortageThatEndsLeavesNoRefusals() {
    ShortagePlay play = new ShortagePlay(SchedulingSettings.Mode.ON);
    play.run(3, 20_000);
    play.run(0.5, 2_000);
    int refusals = play.all.refusals;
    play.run(0.7, 10_000);
    assertThat(play.all.refusals, is(refusals));
  }
}
