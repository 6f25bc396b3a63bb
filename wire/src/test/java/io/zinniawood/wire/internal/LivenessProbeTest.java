package io.zinniawood.wire.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.wire.WireTiming;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LivenessProbeTest {
  private long nowNanos;
  private int probes;
  private boolean silent;
  private final ProbeBudget budget = new ProbeBudget(15_000);
  private final LivenessProbe probe =
      new LivenessProbe(
          WireTiming.defaults(),
          budget,
          ConnectionSide.INITIATOR,
          0,
          sequence -> probes++,
          () -> silent = true);

  private void runUntil(long millis) {
    long endNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    while (!silent && probe.nextCheckNanos() <= endNanos) {
      nowNanos = Math.max(nowNanos, probe.nextCheckNanos());
      probe.check(nowNanos);
    }
    nowNanos = endNanos;
  }

  // A silent connection must be detected early enough to meet the recovery target.
  @Test
  void activeConnectionWithoutAcknowledgementIsSilentWithin700Millis() {
    probe.onMessage(0);
    runUntil(700);
    assertThat(silent, is(true));
    assertThat(probes, is(1));
  }

  // A connection that carries traffic needs no probes.
  @Test
  void trafficSuppressesProbes() {
    for (long millis = 100; millis <= 2_000; millis += 100) {
      runUntil(millis);
      probe.onMessage(nowNanos);
      probe.onRead(nowNanos);
    }
    assertThat(probes, is(0));
    assertThat(silent, is(false));
  }

  // A pause of this process must not be mistaken for a peer that does not respond.
  @Test
  void pauseOfThisProcessDoesNotCloseTheConnection() {
    probe.onMessage(0);
    runUntil(300);
    assertThat(probes, is(1));
    nowNanos = TimeUnit.SECONDS.toNanos(30);
    probe.check(nowNanos);
    assertThat(silent, is(false));
    assertThat(probes, is(2));
  }

  // With many connections, idle probes must not exceed the control traffic limit of a node.
  @Test
  void idleProbesStayWithinTheRateLimit() {
    for (int i = 0; i < 200; i++) {
      budget.connectionOpened();
    }
    nowNanos = TimeUnit.SECONDS.toNanos(10);
    probe.onRead(nowNanos);
    probes = 0;
    long endMillis = 10_000 + 100_000;
    while (probe.nextCheckNanos() <= TimeUnit.MILLISECONDS.toNanos(endMillis)) {
      nowNanos = Math.max(nowNanos, probe.nextCheckNanos());
      probe.check(nowNanos);
      probe.onRead(nowNanos);
    }
    assertThat(probes, lessThanOrEqualTo(5));
  }
}
