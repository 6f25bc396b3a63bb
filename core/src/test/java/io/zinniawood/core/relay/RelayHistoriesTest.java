package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItems;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

final class RelayHistoriesTest {
  private static final long FIRST_SEED = 1;
  private static final int HISTORIES = 3_000;

  // A request without an end, a second run or an exception when the configuration changes midway.
  @Test
  void everyRequestHasOneEndWhateverChangesMeanwhile() {
    everyRequestHasOneEnd(RelayHistory::sound);
  }

  // The same when decisions throw and effects fail, which once lost the request concerned.
  @Test
  void everyRequestHasOneEndWhateverFailsMeanwhile() {
    everyRequestHasOneEnd(RelayHistory::withFailures);
  }

  private static void everyRequestHasOneEnd(LongFunction<RelayHistory> histories) {
    Set<String> ends = new HashSet<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      try {
        ends.addAll(histories.apply(seed).play());
      } catch (RuntimeException | AssertionError failure) {
        throw new AssertionError("history with seed " + seed, failure);
      }
    }
    assertThat(ends, hasItems("answered", "aborted", "caller-left"));
    assertThat(ends, hasItems("local-404", "local-401", "local-502", "local-503", "local-504"));
  }
}
