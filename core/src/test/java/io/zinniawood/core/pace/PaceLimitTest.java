package io.zinniawood.core.pace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.load.EndpointLoad;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the pace limit on two paths: eight h100-like endpoints, and eight t4-like ones. */
final class PaceLimitTest {
  private static final double TARGET_GAP_MILLIS = 300;
  private static final double TOKENS = 900;
  private static final AcceleratorProfile FAST = accelerator("h100", 1.4, 1);
  private static final AcceleratorProfile SLOW = accelerator("t4", 15, 8);
  private static final EngineProfile ENGINE =
      new EngineProfile(
          80, 1_750, 10, 2, 1, 0.5, 0, 4, 100_000, 100_000, 16_400, 2_600, 760, 140, Map.of());
  private static final PaceModel MODEL = new PaceModel(ENGINE, 1, 1.5);

  private static AcceleratorProfile accelerator(String kind, double step, double prefill) {
    return new AcceleratorProfile(new AcceleratorKind(kind), 20_000, step, prefill);
  }

  private static List<PacePart> path(
      AcceleratorProfile profile, double requests, double othersRequests, double promptTokens) {
    List<PacePart> parts = new ArrayList<>();
    EndpointLoad load = new EndpointLoad(requests, requests * TOKENS, promptTokens);
    for (int index = 0; index < 8; index++) {
      EndpointId id = new EndpointId(profile.kind().value() + "-" + index);
      parts.add(new PacePart(id, profile, 10, 10, load, othersRequests));
    }
    return parts;
  }

  private static PaceDemand demand(int promptTokens) {
    return demand(1, promptTokens);
  }

  private static PaceDemand demand(double roomRequests, int promptTokens) {
    return new PaceDemand(roomRequests, TOKENS, promptTokens, TARGET_GAP_MILLIS, 601, 2_000);
  }

  private static PaceVerdict.Grade judge(List<PacePart> path, int promptTokens) {
    PaceLimit limit = new PaceLimit(MODEL, TARGET_GAP_MILLIS);
    limit.addWriter(path, TARGET_GAP_MILLIS);
    return limit.judge(path, demand(promptTokens)).grade();
  }

  // A prompt that is read between the steps of running streams delays all of them.
  @Test
  void largePromptsKeepAwayFromWriters() {
    assertThat(judge(path(SLOW, 2, 0, 0), 5_000), is(PaceVerdict.Grade.LATE));
    assertThat(judge(path(SLOW, 2, 0, 5_000), 5_000), is(PaceVerdict.Grade.SLOWS_OTHERS));
    assertThat(judge(path(FAST, 2, 0, 5_000), 5_000), is(PaceVerdict.Grade.IN_TIME));
    int admitted = 0;
    while (judge(path(FAST, 10, 0, admitted * 20_000.0), 20_000).ordinal()
        <= PaceVerdict.Grade.LATE.ordinal()) {
      admitted++;
    }
    // Each endpoint reads one prompt in 25 ms while the others read those before and after it.
    assertThat(admitted, is(lessThanOrEqualTo(2_000 / 25)));
    assertThat(admitted, is(greaterThan(0)));
  }

  // A late stream still has value, so only its own lateness does not refuse it.
  @Test
  void lateStreamIsPermittedUntilItsCallerGivesUp() {
    PaceLimit limit = new PaceLimit(MODEL, TARGET_GAP_MILLIS);
    List<PacePart> loaded = path(SLOW, 8, 0, 0);
    assertThat(limit.judge(loaded, demand(500)).grade(), is(PaceVerdict.Grade.LATE));
    assertThat(limit.judge(loaded, demand(20_000)).grade(), is(PaceVerdict.Grade.GIVEN_UP));
  }

  // Multiplied by 32 relays, one own request would close the endpoints that it uses.
  @Test
  void singleOwnRequestClosesNoEndpoint() {
    BoundedLoad bound = new BoundedLoad(32, 8.0 / 59, 8 * TOKENS / 59);
    EndpointLoad load = bound.of(new EndpointLoad(32, 32 * TOKENS, 0), 1, TOKENS);
    assertThat(load.requests(), is(closeTo(1 + 31 * 8.0 / 59, 1e-9)));
    PaceLimit limit = new PaceLimit(MODEL, TARGET_GAP_MILLIS);
    limit.addWriter(path(FAST, load.requests(), load.requests() - 1, 0), TARGET_GAP_MILLIS);
    for (PacePart part : path(FAST, load.requests(), load.requests() - 1, 0)) {
      assertThat(limit.permits(part, demand(32, 760)), is(true));
    }
  }

  // Figures told by other relays count in full, also where this relay has no stream.
  @Test
  void toldLoadOfOthersClosesAnEndpoint() {
    EndpointLoad told = new EndpointLoad(80, 80 * TOKENS, 0);
    assertThat(new BoundedLoad(32, 1, TOKENS).of(told, 0, 0), is(told));
    PaceLimit limit = new PaceLimit(MODEL, TARGET_GAP_MILLIS);
    assertThat(limit.permits(path(FAST, 80, 80, 0).get(0), demand(32, 760)), is(false));
    assertThat(limit.permits(path(FAST, 30, 30, 0).get(0), demand(760)), is(true));
  }

  // Relays that learn of each other late either slow streams down or leave capacity unused.
  @ParameterizedTest
  @ValueSource(doubles = {1, 1.5, 3})
  void writersKeepTheirTargetAtAnyLoad(double load) {
    PaceSimulation simulation = new PaceSimulation(11, load);
    simulation.run();
    assertThat(simulation.longestGapMillis, is(lessThanOrEqualTo(TARGET_GAP_MILLIS)));
    assertThat(simulation.sent, is(greaterThan(0.8 * simulation.sentWithExactKnowledge)));
  }

  /** Ten relays that learn the load of each other every 250 ms; streams take ten seconds. */
  private static final class PaceSimulation {
    private static final int RELAYS = 10;
    private static final int STREAM_TICKS = 400;
    private static final int MESSAGE_TICKS = 10;
    private static final long TICK_NANOS = 25_000_000;
    private static final List<AcceleratorProfile> KINDS = List.of(FAST, SLOW);

    private final SplittableRandom random;
    private final double arrivalsPerTick;
    private final int[][] running = new int[KINDS.size()][RELAYS];
    private final int[][] told = new int[KINDS.size()][RELAYS];
    private final Deque<int[]> ends = new ArrayDeque<>();
    double longestGapMillis;
    double sent;
    double sentWithExactKnowledge;
    private final int[] capacities = new int[KINDS.size()];
    private final Deque<int[]> exactEnds = new ArrayDeque<>();

    PaceSimulation(long seed, double load) {
      random = new SplittableRandom(seed);
      double capacity = 0;
      for (int kind = 0; kind < KINDS.size(); kind++) {
        while (gapMillis(KINDS.get(kind), capacities[kind] + 1) <= TARGET_GAP_MILLIS) {
          capacities[kind]++;
        }
        capacity += capacities[kind];
      }
      arrivalsPerTick = load * capacity / STREAM_TICKS;
    }

    private static double gapMillis(AcceleratorProfile kind, int requests) {
      return MODEL.gapMillis(path(kind, requests, 0, 0));
    }

    void run() {
      for (int tick = 0; tick < 4_000; tick++) {
        while (!ends.isEmpty() && ends.peek()[0] <= tick) {
          int[] end = ends.remove();
          running[end[1]][end[2]]--;
        }
        while (!exactEnds.isEmpty() && exactEnds.peek()[0] <= tick) {
          exactEnds.remove();
        }
        if (tick % MESSAGE_TICKS == 0) {
          for (int kind = 0; kind < KINDS.size(); kind++) {
            told[kind] = running[kind].clone();
          }
        }
        for (double left = arrivalsPerTick; left > 0; left--) {
          if (random.nextDouble() < left) {
            arrive(tick, random.nextInt(RELAYS));
          }
        }
      }
    }

    private void arrive(int tick, int relay) {
      if (exactEnds.size() < capacities[0] + capacities[1]) {
        exactEnds.add(new int[] {tick + STREAM_TICKS});
        sentWithExactKnowledge++;
      }
      PaceDemand demand =
          demand(PaceTurn.roomRequests(relay, RELAYS, tick * TICK_NANOS + relay), 760);
      for (int kind = 0; kind < KINDS.size(); kind++) {
        int others = -told[kind][relay];
        int all = 0;
        for (int other = 0; other < RELAYS; other++) {
          others += told[kind][other];
          all += running[kind][other];
        }
        int own = running[kind][relay];
        List<PacePart> path = path(KINDS.get(kind), own + others, others, 0);
        PaceLimit limit = new PaceLimit(MODEL, TARGET_GAP_MILLIS);
        if (own > 0) {
          limit.addWriter(path, TARGET_GAP_MILLIS);
        }
        if (path.stream().allMatch(part -> limit.permits(part, demand))
            && limit.judge(path, demand).permitted()) {
          running[kind][relay]++;
          ends.add(new int[] {tick + STREAM_TICKS, kind, relay});
          sent++;
          longestGapMillis = Math.max(longestGapMillis, gapMillis(KINDS.get(kind), all + 1));
          return;
        }
      }
    }
  }
}
