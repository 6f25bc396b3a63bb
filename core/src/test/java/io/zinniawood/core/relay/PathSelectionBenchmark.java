package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.relay.SchedulingSettings.Mode;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Prints the time of a path selection without and with the pace limit, beside 50 running streams.
 * It asserts nothing and is not part of the tests; run it with {@code
 * -Dtest=PathSelectionBenchmark}.
 */
final class PathSelectionBenchmark {
  private static final int LAYERS = 80;
  private static final int LAYERS_PER_ENDPOINT = 10;
  private static final int STREAMS = 50;
  private static final int ROUNDS = 15;
  private static final long ROUND_NANOS = 200_000_000;
  private static final AcceleratorProfile PROFILE =
      new AcceleratorProfile(RelayHarness.KIND, 40_000, 1.4, 1);
  private static final EngineProfile ENGINE =
      new EngineProfile(
          LAYERS,
          1_000,
          10,
          2,
          1,
          0.005,
          0.000005,
          4,
          100_000,
          100_000,
          16_400,
          2_600,
          760,
          140,
          Map.of(RelayHarness.KIND, PROFILE));

  @ParameterizedTest
  @ValueSource(ints = {60, 300, 1_400})
  void selection(int endpoints) {
    Selection without = new Selection(endpoints, Mode.OFF);
    Selection with = new Selection(endpoints, Mode.ON);
    double[] withoutMicros = new double[ROUNDS];
    double[] withMicros = new double[ROUNDS];
    without.meanMicros();
    with.meanMicros();
    for (int round = 0; round < ROUNDS; round++) {
      withoutMicros[round] = without.meanMicros();
      withMicros[round] = with.meanMicros();
    }
    Arrays.sort(withoutMicros);
    Arrays.sort(withMicros);
    System.out.printf(
        Locale.ROOT,
        "PathSelectionBenchmark: %d endpoints, %d streams: median %.1f and %.1f us, ratio %.2f;"
            + " minimum %.1f and %.1f us, ratio %.2f%n",
        endpoints,
        STREAMS,
        withoutMicros[ROUNDS / 2],
        withMicros[ROUNDS / 2],
        withMicros[ROUNDS / 2] / withoutMicros[ROUNDS / 2],
        withoutMicros[0],
        withMicros[0],
        withMicros[0] / withoutMicros[0]);
  }

  private static final class Selection {
    private final RelayHarness relay;
    private final OpenRequest open;

    Selection(int endpoints, Mode mode) {
      relay = new RelayHarness(SchedulingSettings.all(mode));
      RouteTable table =
          new RouteTable(
              2,
              List.of(
                  RelayHarness.route("stream", RouteKind.STREAMING, RelayHarness.MODEL, 20_000, 2)),
              List.of(new RoutedService(RelayHarness.MODEL, 100, Optional.of(ENGINE))),
              false,
              Map.of(),
              RequestLimits.DEFAULT);
      relay.post(new RelayEvent.RoutesAnswered(Optional.of(table), RelayHarness.version(2)));
      FleetEndpoint[] fleet = new FleetEndpoint[endpoints];
      for (int index = 0; index < endpoints; index++) {
        int from = index * LAYERS_PER_ENDPOINT % LAYERS;
        fleet[index] = relay.model("e" + index, from, from + LAYERS_PER_ENDPOINT);
      }
      relay.list(fleet);
      RelayRequestId last = new RelayRequestId(0);
      for (int count = 0; count < STREAMS; count++) {
        last = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
      }
      if (relay.effectsOf(RelayEffect.Send.class).size() != STREAMS) {
        throw new IllegalStateException("not all streams were sent");
      }
      OpenRequest sent = relay.state().open.get(last);
      open =
          new OpenRequest(
              new RelayRequestId(1_000),
              sent.request,
              account -> RelayHarness.fingerprint(account, "content"),
              sent.route,
              sent.service,
              sent.account,
              sent.priority,
              sent.arrivedNanos,
              sent.deadlineNanos);
    }

    double meanMicros() {
      long startNanos = System.nanoTime();
      long elapsedNanos = 0;
      int selections = 0;
      Set<EndpointId> excluded = Set.of();
      while (elapsedNanos < ROUND_NANOS) {
        RelayTurn turn = new RelayTurn(relay.state(), relay.nowNanos());
        if (new PathSelector(turn, ENGINE, open).best(excluded, 900).isEmpty()) {
          throw new IllegalStateException("no path was found");
        }
        selections++;
        elapsedNanos = System.nanoTime() - startNanos;
      }
      return elapsedNanos / 1_000.0 / selections;
    }
  }
}
