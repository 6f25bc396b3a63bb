package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.http.CircuitBreaker.Permit;
import java.net.URI;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {
  private static final long SEED = 20_261_204L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final CircuitBreakerSettings SETTINGS = new CircuitBreakerSettings(3, 100, 400);

  private static CircuitBreaker openCircuitBreaker(long seed) {
    CircuitBreaker circuitBreaker = new CircuitBreaker(SETTINGS, new SplittableRandom(seed));
    for (int i = 0; i < 3; i++) {
      assertThat(circuitBreaker.acquire(0), is(Permit.CALL));
      circuitBreaker.recordFailure(Permit.CALL, 0);
    }
    return circuitBreaker;
  }

  private static long nextProbeMillis(CircuitBreaker circuitBreaker, long fromMillis) {
    for (long millis = fromMillis; millis < fromMillis + 10_000; millis++) {
      if (circuitBreaker.acquire(millis * NANOS_PER_MILLI) == Permit.PROBE) {
        return millis;
      }
    }
    throw new AssertionError("no probe within 10 s, seed " + SEED);
  }

  // While a service is down, calls must fail immediately instead of waiting for the timeout.
  @Test
  void opensAfterConsecutiveFailuresOnly() {
    CircuitBreaker circuitBreaker = new CircuitBreaker(SETTINGS, new SplittableRandom(SEED));
    for (int i = 0; i < 10; i++) {
      circuitBreaker.recordFailure(Permit.CALL, 0);
      circuitBreaker.recordFailure(Permit.CALL, 0);
      circuitBreaker.recordSuccess();
    }
    assertThat(circuitBreaker.acquire(0), is(Permit.CALL));
    assertThat(openCircuitBreaker(SEED).acquire(0), is(Permit.REFUSED));
  }

  // A recovering service must get a single probe instead of all calls, and must get one eventually.
  @Test
  void sendsOneProbeAndClosesOnItsSuccess() {
    CircuitBreaker circuitBreaker = openCircuitBreaker(SEED);
    long first = nextProbeMillis(circuitBreaker, 0);
    assertThat(first >= 50 && first <= 150, is(true));
    assertThat(circuitBreaker.acquire(10_000 * NANOS_PER_MILLI), is(Permit.REFUSED));
    circuitBreaker.recordFailure(Permit.PROBE, first * NANOS_PER_MILLI);
    long second = nextProbeMillis(circuitBreaker, first);
    assertThat(second - first >= 100 && second - first <= 300, is(true));
    circuitBreaker.recordSuccess();
    assertThat(circuitBreaker.acquire(second * NANOS_PER_MILLI), is(Permit.CALL));
  }

  // Late failures of calls sent before the circuit breaker opened must not postpone the next probe.
  @Test
  void failuresOfEarlierCallsDoNotPostponeTheProbe() {
    CircuitBreaker circuitBreaker = openCircuitBreaker(SEED);
    circuitBreaker.recordFailure(Permit.CALL, 1_000 * NANOS_PER_MILLI);
    assertThat(circuitBreaker.acquire(150 * NANOS_PER_MILLI), is(Permit.PROBE));
  }

  // Jitter must prevent all processes from probing a service at the same time.
  @Test
  void probesOfSeveralCircuitBreakersSpreadOut() {
    Set<Long> probeTimes = new HashSet<>();
    for (long seed = SEED; seed < SEED + 20; seed++) {
      probeTimes.add(nextProbeMillis(openCircuitBreaker(seed), 0));
    }
    assertThat(probeTimes.size(), greaterThan(10));
  }

  // An outage of the table must not block reads of the object store.
  @Test
  void outageOfOneServiceFailsFastAndDoesNotAffectOthers() throws Exception {
    OkHttpClient client = new OkHttpClient();
    CircuitBreakerSettings settings = new CircuitBreakerSettings(3, 60_000, 60_000);
    try (PlatformStandIn standIn = PlatformStandIn.launch(PlatformSettings.unlimited())) {
      HttpPlatform platform =
          new HttpPlatform(
              URI.create("http://127.0.0.1:" + standIn.port()),
              client,
              new HttpPlatformSettings(500, 5_000, 1_000, 4, settings));
      standIn.setFaults(PlatformService.TABLE, PlatformFaults.outage());
      for (int i = 0; i < 10; i++) {
        PlatformError error = platform.table().write("k", 0, new byte[1]).get().getLeft();
        assertThat(error instanceof PlatformError.Unavailable, is(true));
      }
      assertThat(standIn.received(PlatformService.TABLE), is(3L));
      assertThat(platform.objectStore().read("o").get().isRight(), is(true));
    }
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
