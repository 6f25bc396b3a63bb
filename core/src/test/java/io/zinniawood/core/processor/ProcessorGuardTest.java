package io.zinniawood.core.processor;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the processor guard in virtual time; thresholds are 50 and 125 ms. */
final class ProcessorGuardTest {
  private static final double TARGET_LATENCY_MILLIS = 500;

  private final ProcessorGuard guard = new ProcessorGuard();
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);

  /** Posts ticks for a time, each late by the same time. */
  private void run(long forMillis, long lateMillis) {
    long gapMillis = ProcessorGuard.TICK_INTERVAL_MILLIS + lateMillis;
    for (long millis = 0; millis < forMillis; millis += gapMillis) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(gapMillis);
      guard.tick(nowNanos, TARGET_LATENCY_MILLIS);
    }
  }

  // Ordinary jitter of the ticks must not change anything.
  @Test
  void smallLatenessIsIgnored() {
    run(10_000, 10);
    assertThat(guard.deferOptionalWork(), is(false));
    assertThat(guard.refuseNewRequests(), is(false));
  }

  // A relay that is a little short must give up its optional work before its callers.
  @Test
  void optionalWorkIsDeferredFirst() {
    run(5_000, 60);
    assertThat(guard.deferOptionalWork(), is(true));
    assertThat(guard.optionalWorkIntervalFactor(), is(4));
    assertThat(guard.refuseNewRequests(), is(false));
  }

  // Gaps above the threshold of a pause are a shortage if they follow each other.
  @Test
  void shortageRefusesAndEndsAtHalfOfItsThreshold() {
    run(3_000, 200);
    assertThat(guard.refuseNewRequests(), is(true));
    run(3_000, 80);
    assertThat(guard.refuseNewRequests(), is(true));
    run(3_000, 60);
    assertThat(guard.refuseNewRequests(), is(false));
    assertThat(guard.deferOptionalWork(), is(true));
    run(3_000, 30);
    assertThat(guard.deferOptionalWork(), is(true));
    run(3_000, 10);
    assertThat(guard.deferOptionalWork(), is(false));
  }

  // A frozen VM has processor time again at once; refusing its callers would be wrong.
  @Test
  void freezeIsNoShortage() {
    run(1_000, 0);
    for (int freeze = 0; freeze < 5; freeze++) {
      run(1, 3_000);
      assertThat(guard.deferOptionalWork(), is(false));
      run(200, 0);
    }
    assertThat(guard.deferOptionalWork(), is(false));
  }
}
