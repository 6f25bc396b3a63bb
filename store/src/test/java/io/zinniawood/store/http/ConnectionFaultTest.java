package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.standin.proxy.Direction;
import io.zinniawood.standin.proxy.FaultProxy;
import io.zinniawood.standin.proxy.NewConnectionPolicy;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConnectionFaultTest {
  private static final int CALLS_IN_QUEUE = 40;
  private static final int FILL_DELAY_MILLIS = 100;
  private static final int FILL_TIMEOUT_MILLIS = 20_000;

  private final OkHttpClient client = new OkHttpClient();
  private PlatformStandIn standIn;
  private FaultProxy proxy;
  private HttpPlatform platform;

  @BeforeEach
  void start() {
    standIn = PlatformStandIn.launch(PlatformSettings.unlimited());
    proxy = FaultProxy.launch(standIn.port());
    platform = platform(700);
  }

  private HttpPlatform platform(int callTimeoutMillis) {
    return new HttpPlatform(
        URI.create("http://127.0.0.1:" + proxy.port()),
        client,
        new HttpPlatformSettings(
            500, callTimeoutMillis, 1_000, 16, new CircuitBreakerSettings(1_000, 1, 1)));
  }

  @AfterEach
  void stop() {
    proxy.close();
    standIn.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private Either<PlatformError, TableWriteResult> write(String key) throws Exception {
    return platform.table().write(key, 0, new byte[1]).get(20, TimeUnit.SECONDS);
  }

  /** Opens several connections and leaves them idle in the pool. */
  private void fillPool() {
    standIn.setFaults(PlatformFaults.slow(FILL_DELAY_MILLIS));
    // The timeouts under test are too short for the first calls of a process on a busy machine.
    HttpPlatform patient = platform(FILL_TIMEOUT_MILLIS);
    List<CompletableFuture<Either<PlatformError, Option<TableRow>>>> reads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      reads.add(patient.table().read("k"));
    }
    reads.forEach(read -> assertThat(read.join().isRight(), is(true)));
    standIn.setFaults(PlatformFaults.none());
    assertThat(proxy.openClientConnections(), greaterThan(1));
  }

  // After one timeout, no further call may wait on another unresponsive pooled connection.
  @Test
  void oneTimeoutReplacesAllUnresponsiveConnections() throws Exception {
    fillPool();
    proxy.stopForwardingInBothDirections();
    assertThat(write("a").getLeft(), instanceOf(PlatformError.ResponseLost.class));
    assertThat(write("b").isRight(), is(true));
    assertThat(standIn.received(PlatformService.TABLE), is(5L));
  }

  // A write that took effect must not be reported as "not-run" when only its response is lost.
  @Test
  void droppedResponsesOfWritesThatTookEffectAreResponseLost() throws Exception {
    fillPool();
    proxy.stopForwarding(Direction.TO_CLIENT);
    assertThat(write("a").getLeft(), instanceOf(PlatformError.ResponseLost.class));
    assertThat(standIn.writes(PlatformService.TABLE), is(1L));
    assertThat(platform.table().read("a").get().get().isDefined(), is(true));
  }

  // A write must not be sent again when its connection is reset before the response arrives.
  @Test
  void writesWhoseConnectionIsResetAreResponseLostAndNotRepeated() throws Exception {
    standIn.setFaults(PlatformFaults.slow(200));
    CompletableFuture<Either<PlatformError, TableWriteResult>> future =
        platform.table().write("a", 0, new byte[1]);
    while (standIn.received(PlatformService.TABLE) == 0) {
      Thread.onSpinWait();
    }
    proxy.resetConnections();
    assertThat(
        future.get(20, TimeUnit.SECONDS).getLeft(), instanceOf(PlatformError.ResponseLost.class));
    assertThat(write("b").isRight(), is(true));
    assertThat(standIn.received(PlatformService.TABLE), is(2L));
  }

  // Half-open connections must not be reused after the server has closed them.
  @Test
  void halfOpenConnectionsAreReplaced() throws Exception {
    fillPool();
    proxy.halfOpenAtClient();
    assertThat(write("a").getLeft(), instanceOf(PlatformError.ResponseLost.class));
    assertThat(write("b").isRight(), is(true));
    proxy.setNewConnectionPolicy(NewConnectionPolicy.HANG);
    proxy.resetConnections();
    Either<PlatformError, TableWriteResult> hanging = write("c");
    assertThat(hanging.getLeft(), instanceOf(PlatformError.ResponseLost.class));
  }

  // Queued calls must time out, and must not be sent after they have failed.
  @Test
  void queuedCallsThatTimeOutAreNotSent() throws Exception {
    HttpPlatformSettings oneConcurrentCall =
        new HttpPlatformSettings(500, 700, 1_000, 1, new CircuitBreakerSettings(1_000, 1, 1));
    HttpPlatform single =
        new HttpPlatform(URI.create("http://127.0.0.1:" + proxy.port()), client, oneConcurrentCall);
    standIn.setFaults(PlatformFaults.silence());
    List<CompletableFuture<Either<PlatformError, TableWriteResult>>> writes = new ArrayList<>();
    for (int i = 0; i < CALLS_IN_QUEUE; i++) {
      writes.add(single.table().write("k" + i, 0, new byte[1]));
    }
    long lost = 0;
    for (CompletableFuture<Either<PlatformError, TableWriteResult>> write : writes) {
      PlatformError error = write.get(20, TimeUnit.SECONDS).getLeft();
      // A call that left the queue just before its timeout may have been sent.
      if (error instanceof PlatformError.ResponseLost) {
        lost++;
      } else {
        assertThat(error, instanceOf(PlatformError.Unavailable.class));
      }
    }
    assertThat(lost < CALLS_IN_QUEUE, is(true));
    standIn.setFaults(PlatformFaults.none());
    assertThat(single.table().read("k3").get(20, TimeUnit.SECONDS).isRight(), is(true));
    assertThat(standIn.writes(PlatformService.TABLE), is(0L));
    assertThat(standIn.received(PlatformService.TABLE) - 1 <= lost, is(true));
  }
}
