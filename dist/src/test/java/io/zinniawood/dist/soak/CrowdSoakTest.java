package io.zinniawood.dist.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the soak with crowds of callers for fixed seeds. */
final class CrowdSoakTest {
  /** Only ends a run that hangs. */
  private static final long RECOVERY_SECONDS = 120;

  // Guards against crowds that break a guarantee while processes drain, restart or are paused.
  @ParameterizedTest
  @ValueSource(longs = {901, 902})
  void guaranteesHoldBesideCrowds(long seed) throws Exception {
    assertThat(
        "seed " + seed, RelaySoak.runSeed(seed, RECOVERY_SECONDS, SoakFaults::startCrowd), empty());
  }
}
