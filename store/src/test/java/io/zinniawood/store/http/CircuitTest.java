package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.http.Circuit.Permit;
import java.net.URI;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.Test;

class CircuitTest {
  private static final long SEED = 20_261_204L;
  private static final long MILLI = 1_000_000L;
  private static final CircuitSettings SETTINGS = new CircuitSettings(3, 100, 400);

  private static Circuit open(long seed) {
    Circuit circuit = new Circuit(SETTINGS, new SplittableRandom(seed));
    for (int i = 0; i < 3; i++) {
      assertThat(circuit.acquire(0), is(Permit.CALL));
      circuit.failed(Permit.CALL, 0);
    }
    return circuit;
  }

  private static long probeMillis(Circuit circuit, long fromMillis) {
    for (long millis = fromMillis; millis < fromMillis + 10_000; millis++) {
      if (circuit.acquire(millis * MILLI) == Permit.PROBE) {
        return millis;
      }
    }
    throw new AssertionError("no probe, seed " + SEED);
  }

  // Guards against callers that each wait for the timeout of a store that is down.
  @Test
  void opensAfterConsecutiveFailuresOnly() {
    Circuit circuit = new Circuit(SETTINGS, new SplittableRandom(SEED));
    for (int i = 0; i < 10; i++) {
      circuit.failed(Permit.CALL, 0);
      circuit.failed(Permit.CALL, 0);
      circuit.succeeded();
    }
    assertThat(circuit.acquire(0), is(Permit.CALL));
    assertThat(open(SEED).acquire(0), is(Permit.REFUSED));
  }

  // Guards against a returning store that is flooded, and against one that is never tried again.
  @Test
  void letsOneProbePassAndClosesOnItsSuccess() {
    Circuit circuit = open(SEED);
    long first = probeMillis(circuit, 0);
    assertThat(first >= 50 && first <= 150, is(true));
    assertThat(circuit.acquire(10_000 * MILLI), is(Permit.REFUSED));
    circuit.failed(Permit.PROBE, first * MILLI);
    long second = probeMillis(circuit, first);
    assertThat(second - first >= 100 && second - first <= 300, is(true));
    circuit.succeeded();
    assertThat(circuit.acquire(second * MILLI), is(Permit.CALL));
  }

  // Guards against late failures of old calls that push the next probe back without end.
  @Test
  void failuresOfEarlierCallsDoNotMoveTheProbe() {
    Circuit circuit = open(SEED);
    circuit.failed(Permit.CALL, 1_000 * MILLI);
    assertThat(circuit.acquire(150 * MILLI), is(Permit.PROBE));
  }

  // Guards against all processes of a fleet probing at the same moment.
  @Test
  void probesOfSeveralCircuitsSpreadOut() {
    Set<Long> moments = new HashSet<>();
    for (long seed = SEED; seed < SEED + 20; seed++) {
      moments.add(probeMillis(open(seed), 0));
    }
    assertThat(moments.size(), greaterThan(10));
  }

  // Guards against an outage of the table that also stops reads of the object store.
  @Test
  void outageOfOneServiceFailsFastAndLeavesTheOthers() throws Exception {
    OkHttpClient client = new OkHttpClient();
    CircuitSettings settings = new CircuitSettings(3, 60_000, 60_000);
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
