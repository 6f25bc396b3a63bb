package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Draws histories of relays that share an endpoint with a limit. */
final class LimitsHistoriesTest {
  private static final int HISTORIES = 20;

  // Guards against relays that exceed a limit together because they disagree on who they are.
  @ParameterizedTest
  @ValueSource(longs = {20_261_205, 31})
  void relaysKeepToLimitsWhateverTheyHearOfEachOther(long seed) {
    int checks = 0;
    for (int history = 0; history < HISTORIES; history++) {
      long historySeed = seed * 1_000 + history;
      try {
        checks += new LimitsHistory(historySeed).play();
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("history with seed " + historySeed, failure);
      }
    }
    assertThat(checks, greaterThan(1_000));
  }
}
