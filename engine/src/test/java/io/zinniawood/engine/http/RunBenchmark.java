package io.zinniawood.engine.http;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.engine.ModelParameters;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.Test;

/**
 * Measures the cost of {@link HttpModelEngine#runSteps} against a stand-in without delay in the
 * same JVM. It is not part of the build; the command is in {@code docs/standins.md}.
 */
class RunBenchmark {
  private static final int RUNS = 7;
  private static final int WARM_UP_RUNS = 3;
  private static final int BYTES_PER_RUN = 128 << 20;

  @Test
  void measure() throws Exception {
    ModelParameters parameters = new ModelParameters("bench", "1", 8, 0);
    OkHttpClient client = new OkHttpClient();
    try (EngineStandIn standIn = EngineStandIn.launch(EngineSettings.unlimited(parameters, 2, 6))) {
      HttpModelEngine engine =
          new HttpModelEngine(URI.create("http://127.0.0.1:" + standIn.port()), client);
      measure(engine, 1, 12);
      measure(engine, 16, 12);
      measure(engine, 16, 8 * 1024 + 4);
    }
    client.dispatcher().executorService().shutdown();
  }

  private static void measure(HttpModelEngine engine, int steps, int payloadBytes)
      throws Exception {
    int calls = calls(steps, payloadBytes);
    System.out.printf(
        "batch of %d steps of %d bytes, %d runs of %d batches%n", steps, payloadBytes, RUNS, calls);
    for (int callers : new int[] {1, 8}) {
      double[] micros = new double[RUNS];
      for (int run = -WARM_UP_RUNS; run < RUNS; run++) {
        long startNanos = System.nanoTime();
        runCallers(engine, callers, steps, payloadBytes, run);
        if (run >= 0) {
          micros[run] = (System.nanoTime() - startNanos) / 1e3 / calls;
        }
      }
      print("  wall time per batch, " + callers + " callers", micros);
    }
    print("  encoding of requests and decoding of outputs", codec(steps, payloadBytes));
  }

  /** Returns the number of batches per run, which is lower for large batches to keep runs short. */
  private static int calls(int steps, int payloadBytes) {
    return Math.min(2_000, BYTES_PER_RUN / (steps * payloadBytes) / 8 * 8);
  }

  private static void runCallers(
      HttpModelEngine engine, int callers, int steps, int payloadBytes, int run) {
    List<CompletableFuture<Void>> chains = new ArrayList<>();
    for (int caller = 0; caller < callers; caller++) {
      String prefix = "run" + run + "-" + steps + "-" + payloadBytes + "-" + callers + "-" + caller;
      chains.add(
          chain(engine, prefix, steps, payloadBytes, 0, calls(steps, payloadBytes) / callers));
    }
    CompletableFuture.allOf(chains.toArray(new CompletableFuture<?>[0])).join();
    for (int caller = 0; caller < callers; caller++) {
      String prefix = "run" + run + "-" + steps + "-" + payloadBytes + "-" + callers + "-" + caller;
      for (int step = 0; step < steps; step++) {
        engine.closeSession(new SessionId(prefix + "-" + step)).join();
      }
    }
  }

  private static CompletableFuture<Void> chain(
      HttpModelEngine engine, String prefix, int steps, int payloadBytes, int position, int calls) {
    if (position == calls) {
      return CompletableFuture.completedFuture(null);
    }
    return engine
        .runSteps(batch(prefix, steps, payloadBytes, position))
        .thenComposeAsync(
            result -> {
              result.getOrElseThrow(error -> new AssertionError(error.toString()));
              return chain(engine, prefix, steps, payloadBytes, position + 1, calls);
            });
  }

  private static Vector<StepRequest> batch(
      String prefix, int steps, int payloadBytes, int position) {
    Payload payload = Payload.wrap(ByteBuffer.allocate(payloadBytes).putInt(8, 1).array());
    return Vector.range(0, steps)
        .map(
            step ->
                new StepRequest(
                    new SessionId(prefix + "-" + step), position, payload, 1_000, Priority.NORMAL));
  }

  private static double[] codec(int steps, int payloadBytes) throws Exception {
    Vector<StepRequest> batch = batch("codec", steps, payloadBytes, 5);
    byte[] answer = BenchmarkAnswers.of(batch);
    double[] micros = new double[RUNS];
    int calls = calls(steps, payloadBytes);
    long check = 0;
    for (int run = -WARM_UP_RUNS; run < RUNS; run++) {
      long startNanos = System.nanoTime();
      for (int call = 0; call < calls; call++) {
        check += BatchCodec.encode(batch).length;
        check += BatchCodec.decode(answer).size();
      }
      if (run >= 0) {
        micros[run] = (System.nanoTime() - startNanos) / 1e3 / calls;
      }
    }
    System.out.printf(
        "  request %d bytes, answer %d bytes (check %d)%n",
        BatchCodec.encode(batch).length, answer.length, check);
    return micros;
  }

  private static void print(String what, double[] micros) {
    Arrays.sort(micros);
    System.out.printf(
        "%s: min %.1f, median %.1f, max %.1f microseconds%n",
        what, micros[0], micros[micros.length / 2], micros[micros.length - 1]);
  }
}
