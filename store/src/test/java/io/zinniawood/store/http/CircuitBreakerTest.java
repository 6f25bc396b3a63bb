package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformKind;
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
    CircuitBreaker circuit = new CircuitBreaker(SETTINGS, new SplittableRandom(seed));
    for (int i = 0; i < 3; i++) {
      assertThat(circuit.acquire(0), is(Permit.CALL));
      circuit.recordFailure(Permit.CALL, 0);
    }
    return circuit;
  }

  private static long nextProbeMillis(CircuitBreaker circuit, long fromMillis) {
    for (long millis = fromMillis; millis < fromMillis + 10_000; millis++) {
      if (circuit.acquire(millis * NANOS_PER_MILLI) == Permit.PROBE) {
        return millis;
      }
    }
    throw new AssertionError("no probe, seed " + SEED);
  }

  // Guards against callers that each wait for the timeout of a store that is down.
  @Test
  void opensAfterConsecutiveFailuresOnly() {
    CircuitBreaker circuit = new CircuitBreaker(SETTINGS, new SplittableRandom(SEED));
    for (int i = 0; i < 10; i++) {
      circuit.recordFailure(Permit.CALL, 0);
      circuit.recordFailure(Permit.CALL, 0);
      circuit.recordSuccess();
    }
    assertThat(circuit.acquire(0), is(Permit.CALL));
    assertThat(openCircuitBreaker(SEED).acquire(0), is(Permit.REFUSED));
  }

  // Guards against a returning store that is flooded, and against one that is never tried again.
  @Test
  void letsOneProbePassAndClosesOnItsSuccess() {
    CircuitBreaker circuit = openCircuitBreaker(SEED);
    long first = nextProbeMillis(circuit, 0);
    assertThat(first >= 50 && first <= 150, is(true));
    assertThat(circuit.acquire(10_000 * NANOS_PER_MILLI), is(Permit.REFUSED));
    circuit.recordFailure(Permit.PROBE, first * NANOS_PER_MILLI);
    long second = nextProbeMillis(circuit, first);
    assertThat(second - first >= 100 && second - first <= 300, is(true));
    circuit.recordSuccess();
    assertThat(circuit.acquire(second * NANOS_PER_MILLI), is(Permit.CALL));
  }

  // Guards against late failures of old calls that push the next probe back without end.
  @Test
  void failuresOfEarlierCallsDoNotMoveTheProbe() {
    CircuitBreaker circuit = openCircuitBreaker(SEED);
    circuit.recordFailure(Permit.CALL, 1_000 * NANOS_PER_MILLI);
    assertThat(circuit.acquire(150 * NANOS_PER_MILLI), is(Permit.PROBE));
  }

  // Guards against all processes of a fleet probing at the same moment.
  @Test
  void probesOfSeveralCircuitsSpreadOut() {
    Set<Long> moments = new HashSet<>();
    for (long seed = SEED; seed < SEED + 20; seed++) {
      moments.add(nextProbeMillis(openCircuitBreaker(seed), 0));
    }
    assertThat(moments.size(), greaterThan(10));
  }

  // Guards against an outage of the table that also stops reads of the object store.
  @Test
  void outageOfOneServiceFailsFastAndLeavesTheOthers() throws Exception {
    OkHttpClient client = new OkHttpClient();
    CircuitBreakerSettings settings = new CircuitBreakerSettings(3, 60_000, 60_000);
    try (PlatformStandIn standIn = PlatformStandIn.launch(PlatformSettings.unlimited())) {
      HttpPlatform platform =
          new HttpPlatform(
              URI.create("http://127.0.0.1:" + standIn.port()),
              client,
              new HttpPlatformSettings(500, 5_000, 1_000, 4, settings));
      standIn.setFaults(PlatformKind.TABLE, PlatformFaults.outage());
      for (int i = 0; i < 10; i++) {
        PlatformError error = platform.table().write("k", 0, new byte[1]).get().getLeft();
        assertThat(error instanceof PlatformError.Unavailable, is(true));
      }
      assertThat(standIn.received(PlatformKind.TABLE), is(3L));
      assertThat(platform.objectStore().read("o").get().isRight(), is(true));
    }
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
