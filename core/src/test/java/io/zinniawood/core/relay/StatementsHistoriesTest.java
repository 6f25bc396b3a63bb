package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;

final class StatementsHistoriesTest {
  private static final long FIRST_SEED = 28_000;
  private static final int HISTORIES = 150;

  // Guards against orders of events in which an endpoint that leaves or refuses is used.
  @Test
  void nothingNewReachesEndpointsThatWantNothing() {
    int statements = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      try {
        statements += new StatementsHistory(seed).play();
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
      }
    }
    assertThat(statements, greaterThan(HISTORIES));
  }
}
