package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * A drawn history of one relay: requests, answers, failures, endpoints that fall silent, crash or
 * leave, and configurations that change between any two of them. Checks each effect as it is
 * emitted. A history with failures also has decisions that throw and effects that fail.
 */
final class RelayHistory {
  private static final List<String> ROUTES = List.of("stream", "read", "book");
  private static final int STEPS = 60;
  private static final int FINAL_TICKS = 60;
  private static final long FINAL_TICK_MILLIS = 100;
  private static final int NOT_RUN_STATUS = 503;

  private final SplittableRandom random;
  private final boolean withFailures;
  private final Deque<RelayEvent> failedEffects = new ArrayDeque<>();
  private final RelayHarness relay = new RelayHarness();
  private final List<FleetEndpoint> fleet = new ArrayList<>();
  private final Map<RelayRequestId, Caller> callers = new LinkedHashMap<>();
  private long routesVersion = 1;
  private int effectsSeen;

  /** What the caller and the endpoints know of one request. */
  private static final class Caller {
    final String route;
    int attempt;
    boolean running;
    boolean streaming;
    boolean relaying;
    boolean begun;
    int possibleRuns;
    String end = "";

    Caller(String route) {
      this.route = route;
    }

    boolean open() {
      return end.isEmpty();
    }
  }

  private RelayHistory(long seed, boolean withFailures) {
    random = new SplittableRandom(seed);
    this.withFailures = withFailures;
  }

  static RelayHistory sound(long seed) {
    return new RelayHistory(seed, false);
  }

  static RelayHistory withFailures(long seed) {
    return new RelayHistory(seed, true);
  }

  /** Plays the history and returns how its requests ended. */
  Set<String> play() {
    for (String[] layers : List.of(new String[] {"a", "b"}, new String[] {"c", "d", "e"})) {
      int part = RelayHarness.LAYERS / layers.length;
      for (int index = 0; index < layers.length; index++) {
        int end = index == layers.length - 1 ? RelayHarness.LAYERS : (index + 1) * part;
        fleet.add(relay.model(layers[index], index * part, end));
      }
    }
    fleet.add(relay.model("f", 0, RelayHarness.LAYERS));
    fleet.add(relay.plain("p"));
    fleet.add(relay.plain("q"));
    relay.list(fleet.toArray(FleetEndpoint[]::new));
    configure();
    observe();
    for (int step = 0; step < STEPS; step++) {
      step();
      observe();
    }
    for (int tick = 0; tick < FINAL_TICKS; tick++) {
      relay.tickAfterMillis(FINAL_TICK_MILLIS);
      observe();
    }
    callers.forEach((id, caller) -> require(!caller.open(), id, "an end"));
    require(relay.state().openRequests() == 0, new RelayRequestId(0), "no open request at the end");
    require(relay.state().waitingRequests() == 0, new RelayRequestId(0), "an empty queue");
    return callers.values().stream().map(caller -> caller.end).collect(Collectors.toSet());
  }

  private void step() {
    if (withFailures && random.nextInt(6) == 0) {
      failDecision();
      return;
    }
    switch (random.nextInt(24)) {
      case 0, 1, 2, 3 -> arrive();
      case 4, 5, 6, 7, 8, 9 -> endpointActs();
      case 10 -> leave();
      case 11, 12, 13 -> configure();
      case 14 -> changeFleet();
      case 15, 16 -> relay.post(new RelayEvent.ReportMissing(endpoint().id()));
      case 17 -> report();
      case 18 -> answerRepath();
      case 19 -> storeFails();
      case 20 -> relay.pauseMillis(random.nextInt(400));
      case 21 -> {
        if (random.nextInt(20) == 0) {
          relay.post(new RelayEvent.TerminationRequested());
        }
      }
      default -> relay.tickAfterMillis(random.nextInt(300));
    }
  }

  /** Posts an event that breaks the contract of its type, so that its decision throws. */
  private void failDecision() {
    switch (random.nextInt(5)) {
      case 0 -> relay.post(new RelayEvent.ReportRead(endpoint().id(), null));
      case 1 ->
          relay.post(
              new RelayEvent.EndpointsListed(null, RelayHarness.version(1), relay.storeMillis()));
      case 2 -> relay.post(new RelayEvent.RoutesAnswered(null, RelayHarness.version(1)));
      case 3 -> drawOpen().ifPresent(id -> failRequest(id, callers.get(id).attempt));
      default ->
          drawOpen()
              .ifPresent(
                  id ->
                      relay.post(
                          new RelayEvent.RepathAnswered(id, callers.get(id).attempt, null, null)));
    }
  }

  private void failRequest(RelayRequestId id, int attempt) {
    relay.post(
        random.nextBoolean()
            ? new RelayEvent.AnswerReceived(id, attempt, null)
            : new RelayEvent.AttemptFailed(id, attempt, null, 0));
    observe();
    require(!callers.get(id).open(), id, "an end as soon as its decision fails");
  }

  private FleetEndpoint endpoint() {
    return fleet.get(random.nextInt(fleet.size()));
  }

  private void arrive() {
    String route = ROUTES.get(random.nextInt(ROUTES.size()));
    Caller caller = new Caller(route);
    callers.put(new RelayRequestId(callers.size() + 1), caller);
    if (route.equals("stream") && random.nextInt(3) > 0) {
      relay.stream("part-" + random.nextInt(2));
    } else {
      Optional<String> key =
          random.nextInt(10) > 0 ? Optional.of(RelayHarness.KEY) : Optional.empty();
      relay.request(route, key, 1 + random.nextInt(3_000));
    }
  }

  private Optional<RelayRequestId> drawOpen() {
    List<RelayRequestId> open =
        callers.keySet().stream().filter(id -> callers.get(id).open()).toList();
    return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
  }

  private void leave() {
    drawOpen()
        .ifPresent(
            id -> {
              end(id, "caller-left");
              relay.post(new RelayEvent.CallerDisconnected(id));
            });
  }

  private void endpointActs() {
    Optional<RelayRequestId> drawn = drawOpen();
    if (drawn.isEmpty()) {
      return;
    }
    RelayRequestId id = drawn.get();
    Caller caller = callers.get(id);
    // Events of an attempt that the relay has given up may still arrive.
    int attempt = random.nextInt(12) == 0 ? Math.max(1, caller.attempt - 1) : caller.attempt;
    boolean current = attempt == caller.attempt && caller.running;
    if (!current) {
      relay.post(new RelayEvent.AttemptFailed(id, attempt, AttemptFailureCause.CONNECTION_LOST, 0));
    } else if (caller.relaying && random.nextInt(4) > 0) {
      caller.begun = true;
      relay.post(new RelayEvent.StreamAdvanced(id, attempt, 1 + random.nextInt(100)));
    } else if (caller.relaying) {
      endStream(id, caller, attempt);
    } else if (random.nextInt(3) == 0) {
      fail(id, caller, attempt);
    } else {
      answer(id, caller, attempt);
    }
  }

  private void endStream(RelayRequestId id, Caller caller, int attempt) {
    if (caller.begun && random.nextBoolean()) {
      end(id, "answered");
      relay.post(new RelayEvent.AnswerRelayed(id, attempt, RelayHarness.EVIDENCE));
    } else {
      caller.running = false;
      relay.post(
          new RelayEvent.AttemptFailed(
              id, attempt, AttemptFailureCause.CONNECTION_LOST, caller.begun ? 3 : 0));
    }
  }

  private void fail(RelayRequestId id, Caller caller, int attempt) {
    AttemptFailureCause[] causes = AttemptFailureCause.values();
    AttemptFailureCause cause = causes[random.nextInt(causes.length)];
    caller.running = false;
    if (cause == AttemptFailureCause.NOT_SENT) {
      caller.possibleRuns--;
    }
    relay.post(new RelayEvent.AttemptFailed(id, attempt, cause, 0));
  }

  private void answer(RelayRequestId id, Caller caller, int attempt) {
    int[] statuses = {200, 200, 200, 200, 404, 500, 503, 421};
    int status = statuses[random.nextInt(statuses.length)];
    AnswerSummary answer =
        new AnswerSummary(
            status,
            status != NOT_RUN_STATUS && random.nextInt(8) > 0,
            status == NOT_RUN_STATUS,
            random.nextBoolean() ? Optional.of(endpoint().address()) : Optional.empty(),
            status == NOT_RUN_STATUS && random.nextBoolean(),
            StatedLimit.NONE);
    if (answer.certainlyNotRun()) {
      caller.possibleRuns--;
    }
    if (random.nextInt(4) == 0 && !confirmed(id, caller, attempt, answer)) {
      return;
    }
    relay.post(new RelayEvent.AnswerReceived(id, attempt, answer));
    // The runtime completes a whole answer as soon as it is relayed.
    observe();
    boolean whole = !caller.streaming || !answer.success();
    if (caller.open() && caller.relaying && caller.attempt == attempt && whole) {
      end(id, "answered");
      relay.post(new RelayEvent.AnswerRelayed(id, attempt, RelayHarness.EVIDENCE));
    }
  }

  /** Plays an answer that ends with its connection, and returns whether it is to be taken. */
  private boolean confirmed(RelayRequestId id, Caller caller, int attempt, AnswerSummary answer) {
    int takenBefore = relay.effectsOf(RelayEffect.TakeAnswer.class).size();
    relay.post(new RelayEvent.AnswerEnded(id, attempt, answer));
    if (!answer.certainlyNotRun()) {
      EndpointSign[] signs = EndpointSign.values();
      EndpointSign sign = signs[random.nextInt(signs.length)];
      caller.running = false;
      relay.post(new RelayEvent.EndpointHeard(id, attempt, sign));
      if (relay.effectsOf(RelayEffect.TakeAnswer.class).size() > takenBefore) {
        caller.running = true;
      }
      observe();
    }
    return relay.effectsOf(RelayEffect.TakeAnswer.class).size() > takenBefore;
  }

  private void configure() {
    routesVersion += 1 + random.nextInt(3);
    relay.post(
        new RelayEvent.RoutesAnswered(
            Optional.of(DrawnConfiguration.draw(random, routesVersion)),
            RelayHarness.version(routesVersion)));
  }

  private void changeFleet() {
    List<FleetEndpoint> listed = new ArrayList<>();
    for (int index = 0; index < fleet.size(); index++) {
      FleetEndpoint old = fleet.get(index);
      FleetEndpoint newer =
          relay.endpoint(old.id().value(), old.service(), old.layers(), random.nextInt(10) == 0);
      fleet.set(index, newer);
      if (random.nextInt(10) > 0) {
        listed.add(newer);
      }
    }
    relay.list(listed.toArray(FleetEndpoint[]::new));
  }

  private void report() {
    FleetEndpoint from = endpoint();
    NodeAddress dead = endpoint().address();
    List<EndpointReport.StalledRequest> stalled =
        random.nextBoolean()
            ? List.of(new EndpointReport.StalledRequest(new RequestId("caller-1"), dead))
            : List.of();
    relay.post(
        new RelayEvent.ReportRead(
            from.id(), new EndpointReport(0, random.nextInt(4) == 0 ? 2 : 1, 1, stalled)));
  }

  private void answerRepath() {
    drawOpen()
        .ifPresent(
            id ->
                relay.post(
                    new RelayEvent.RepathAnswered(
                        id,
                        callers.get(id).attempt,
                        OrderResult.values()[random.nextInt(OrderResult.values().length)],
                        Optional.of(endpoint().address()))));
  }

  private void storeFails() {
    StoreReadFailure failure =
        StoreReadFailure.values()[random.nextInt(StoreReadFailure.values().length)];
    relay.post(new RelayEvent.RoutesReadFailed(failure));
    relay.post(new RelayEvent.EndpointsReadFailed(failure));
  }

  private void end(RelayRequestId id, String end) {
    Caller caller = callers.get(id);
    require(caller.open(), id, "one end, but after " + caller.end + " came " + end);
    caller.end = end;
    caller.running = false;
  }

  private void observe() {
    List<RelayEffect> emitted = List.copyOf(relay.effectsFrom(effectsSeen));
    effectsSeen += emitted.size();
    emitted.forEach(this::check);
    while (!failedEffects.isEmpty()) {
      relay.post(failedEffects.pollFirst());
      observe();
    }
  }

  private boolean effectFails() {
    return withFailures && random.nextInt(8) == 0;
  }

  private void check(RelayEffect effect) {
    if (effect instanceof RelayEffect.Send send) {
      sent(send);
    } else if (effect instanceof RelayEffect.CancelAttempt cancel) {
      Caller caller = callers.get(cancel.id());
      caller.running &= cancel.attempt() != caller.attempt;
    } else if (effect instanceof RelayEffect.RelayAnswer answer) {
      Caller caller = callers.get(answer.id());
      require(caller.open() && caller.running, answer.id(), "no answer of an ended attempt");
      caller.relaying = true;
      if (effectFails()) {
        caller.relaying = caller.begun;
        caller.running = false;
        failedEffects.add(
            new RelayEvent.AttemptFailed(
                answer.id(), answer.attempt(), AttemptFailureCause.INVALID_ANSWER, 0));
      }
    } else if (effect instanceof RelayEffect.AbortAnswer abort) {
      require(callers.get(abort.id()).begun, abort.id(), "an abort only of a begun answer");
      end(abort.id(), "aborted");
    } else if (effect instanceof RelayEffect.AnswerLocally local) {
      Caller caller = callers.get(local.id());
      require(!caller.begun, local.id(), "no second answer within a begun one");
      boolean promisesNotRun = local.answer().status() == NOT_RUN_STATUS;
      require(!promisesNotRun || caller.possibleRuns == 0, local.id(), "503 only if not run");
      end(local.id(), "local-" + local.answer().status());
    } else if (effect instanceof RelayEffect.LogDecision entry) {
      boolean failed = entry.decision().event().equals("decision-failed");
      require(
          !failed || withFailures, new RelayRequestId(0), "no exception, but " + entry.decision());
    } else if (effect instanceof RelayEffect.Repath repath) {
      require(callers.get(repath.id()).running, repath.id(), "a path change of a running attempt");
    }
  }

  private void sent(RelayEffect.Send send) {
    Caller caller = callers.get(send.id());
    require(caller.open(), send.id(), "nothing sent after its end");
    require(!caller.running, send.id(), "one attempt at a time");
    caller.attempt = send.attempt();
    caller.running = true;
    caller.streaming = send.options().streaming();
    caller.possibleRuns++;
    caller.relaying = caller.begun;
    require(!caller.route.equals("book") || caller.possibleRuns <= 1, send.id(), "at most one run");
    if (effectFails()) {
      caller.running = false;
      caller.possibleRuns--;
      failedEffects.add(
          new RelayEvent.AttemptFailed(send.id(), send.attempt(), AttemptFailureCause.NOT_SENT, 0));
    }
  }

  private void require(boolean holds, RelayRequestId id, String expected) {
    if (!holds) {
      throw new AssertionError("request %s: expected %s".formatted(id, expected));
    }
  }
}
