package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.route.ApiKeyHolder;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import io.zinniawood.core.route.ServiceShare;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Demand above the capacity of one relay's endpoints in virtual time: three urgencies, twenty
 * accounts of which the first has ten times the demand of each other, and a third of the callers
 * return once after a refusal.
 */
final class ShortagePlay {
  static final int ACCOUNTS = 20;
  static final int ENDPOINTS = 4;
  static final long TARGET_MILLIS = 500;
  static final long LIMIT_MILLIS = 3_000;
  private static final long STEP_MILLIS = 5;
  private static final long TICK_MILLIS = 25;
  private static final int MIN_SERVICE_MILLIS = 300;
  private static final int MAX_SERVICE_MILLIS = 900;
  private static final double CAPACITY_PER_SECOND =
      ENDPOINTS * 6 * PlainEndpointSelector.MAX_IN_FLIGHT_PER_SLOT * 1_000 / 600;

  /** Demand of one group and what became of it. */
  static final class Tally {
    int wanted;
    int served;
    int inTime;
    int twiceRefused;
    int returned;
    int returnsServed;
    int refusals;
    int lateRefusals;
    long longestRefusalMillis;

    double returnsServedShare() {
      return returnsServed / (double) Math.max(1, returned);
    }

    double firstServedShare() {
      return (served - returnsServed) / (double) Math.max(1, wanted);
    }

    double servedShare() {
      return served / (double) Math.max(1, wanted);
    }
  }

  private record Call(String route, int account, String content, int repeat, long atMillis) {}

  private record End(long atMillis, RelayRequestId id, int attempt) {}

  final Tally all = new Tally();
  final Map<String, Tally> byRoute = new TreeMap<>();
  final Map<Integer, Tally> byAccount = new TreeMap<>();
  private final RelayHarness relay;
  private final SplittableRandom random = new SplittableRandom(1);
  private final PriorityQueue<Call> returns =
      new PriorityQueue<>(Comparator.comparingLong(Call::atMillis));
  private final PriorityQueue<End> ends =
      new PriorityQueue<>(Comparator.comparingLong(End::atMillis));
  private final Map<RelayRequestId, Call> calls = new HashMap<>();
  private int seenEffects;
  private int nextContent;
  private long nowMillis;

  ShortagePlay(SchedulingSettings.Mode mode) {
    relay = new RelayHarness(SchedulingSettings.all(mode));
    relay.post(new RelayEvent.RoutesAnswered(Optional.of(routes()), RelayHarness.version(2)));
    relay.list(relay.plain("p1"), relay.plain("p2"), relay.plain("p3"), relay.plain("p4"));
  }

  /** Returns routes of one plain service with three priorities, and a key of each account. */
  static RouteTable routes() {
    List<Route> routes = new ArrayList<>();
    for (int priority = 0; priority < 3; priority++) {
      routes.add(
          new Route(
              "u" + priority,
              "host",
              "/u" + priority + "/",
              RouteKind.IDEMPOTENT,
              LIMIT_MILLIS,
              TARGET_MILLIS,
              0,
              priority,
              List.of(new ServiceShare(RelayHarness.PLAIN, 1)),
              2,
              false,
              false));
    }
    Map<String, ApiKeyHolder> keys = new HashMap<>();
    for (int account = 0; account < ACCOUNTS; account++) {
      // All accounts have the same priority, so only that of the route tells requests apart.
      keys.put("k" + account, new ApiKeyHolder(new ClientAccountId("a" + account), 3));
    }
    return new RouteTable(
        2,
        routes,
        List.of(new RoutedService(RelayHarness.PLAIN, 100, Optional.empty())),
        true,
        keys,
        RequestLimits.DEFAULT);
  }

  /** Runs the play with new requests at a multiple of the capacity, and lets the last ones end. */
  void run(double demand, long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      double due = demand * CAPACITY_PER_SECOND * STEP_MILLIS / 1_000 + random.nextDouble();
      for (int index = 0; index < (int) due; index++) {
        int account = Math.max(0, random.nextInt(ACCOUNTS + 9) - 9);
        post(new Call("u" + random.nextInt(3), account, "c" + nextContent++, 0, nowMillis));
      }
      step();
    }
  }

  /** Lets the requests in progress and the expected returns end. */
  void drain() {
    for (long end = nowMillis + 12_000; nowMillis < end; ) {
      step();
    }
  }

  private void step() {
    while (!returns.isEmpty() && returns.peek().atMillis() <= nowMillis) {
      post(returns.poll());
    }
    while (!ends.isEmpty() && ends.peek().atMillis() <= nowMillis) {
      End end = ends.poll();
      relay.answerReceived(end.id(), end.attempt(), 200);
      relay.post(new RelayEvent.AnswerRelayed(end.id(), end.attempt(), RelayHarness.EVIDENCE));
    }
    nowMillis += STEP_MILLIS;
    relay.pauseMillis(STEP_MILLIS);
    if (nowMillis % TICK_MILLIS == 0) {
      relay.post(new RelayEvent.Tick());
    }
    List<RelayEffect> effects = relay.effectsFrom(seenEffects);
    seenEffects += effects.size();
    List.copyOf(effects).forEach(this::handle);
  }

  private void post(Call call) {
    if (call.repeat() == 0) {
      tallies(call).forEach(tally -> tally.wanted++);
    } else {
      tallies(call).forEach(tally -> tally.returned++);
    }
    RelayRequestId id =
        relay.request(
            call.route(),
            Optional.of("k" + call.account()),
            LIMIT_MILLIS,
            List.of(),
            call.content());
    calls.put(id, new Call(call.route(), call.account(), call.content(), call.repeat(), nowMillis));
  }

  private void handle(RelayEffect effect) {
    if (effect instanceof RelayEffect.Send send) {
      long serviceMillis =
          MIN_SERVICE_MILLIS + random.nextInt(MAX_SERVICE_MILLIS - MIN_SERVICE_MILLIS);
      ends.add(new End(nowMillis + serviceMillis, send.id(), send.attempt()));
      Call call = calls.get(send.id());
      for (Tally tally : tallies(call)) {
        tally.served++;
        tally.returnsServed += call.repeat();
        tally.inTime += nowMillis - call.atMillis() <= TARGET_MILLIS ? 1 : 0;
      }
    } else if (effect instanceof RelayEffect.AnswerLocally local) {
      refused(calls.get(local.id()), local.answer());
    }
  }

  private void refused(Call call, LocalAnswer answer) {
    long waitedMillis = nowMillis - call.atMillis();
    for (Tally tally : tallies(call)) {
      tally.refusals++;
      tally.twiceRefused += call.repeat();
      tally.lateRefusals += waitedMillis > TARGET_MILLIS / 8 ? 1 : 0;
      tally.longestRefusalMillis = Math.max(tally.longestRefusalMillis, waitedMillis);
    }
    if (call.repeat() == 0 && random.nextInt(3) == 0) {
      long returnMillis = nowMillis + answer.retryAfterMillis().orElseThrow() + STEP_MILLIS;
      returns.add(new Call(call.route(), call.account(), call.content(), 1, returnMillis));
    }
  }

  private List<Tally> tallies(Call call) {
    return List.of(
        all,
        byRoute.computeIfAbsent(call.route(), route -> new Tally()),
        byAccount.computeIfAbsent(call.account(), account -> new Tally()));
  }

  /** Returns the lowest served share of an account. */
  double lowestAccountShare() {
    return byAccount.values().stream().mapToDouble(Tally::servedShare).min().orElse(0);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    byRoute.forEach(
        (route, tally) ->
            text.append(
                " %s %.3f (first %.3f, %d returns %.3f)"
                    .formatted(
                        route,
                        tally.servedShare(),
                        tally.firstServedShare(),
                        tally.returned,
                        tally.returnsServedShare())));
    return "served %.3f in time %.3f;%s; heavy account %.3f, lowest %.3f; refused late %d of %d, "
            .formatted(
                all.servedShare(),
                all.inTime / (double) all.wanted,
                text,
                byAccount.get(0).servedShare(),
                lowestAccountShare(),
                all.lateRefusals,
                all.refusals)
        + "longest %d ms; refused twice %.3f"
            .formatted(all.longestRefusalMillis, all.twiceRefused / (double) all.wanted);
  }
}
