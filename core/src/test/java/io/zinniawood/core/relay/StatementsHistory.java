package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * A drawn history of one relay whose endpoints say that they leave, refuse with a time and restart,
 * while their list changes and the store fails. Checks each effect as it is emitted.
 */
final class StatementsHistory {
  private static final int STEPS = 120;
  private static final List<String> ROUTES = List.of("stream", "read", "book");

  private final SplittableRandom random;
  private final RelayHarness relay = new RelayHarness();
  private final Map<EndpointId, Known> endpoints = new LinkedHashMap<>();
  private final Map<RelayRequestId, RelayEffect.Send> running = new LinkedHashMap<>();
  private long nowMillis;
  private long rowVersion = 10_000;
  private int effectsSeen;
  private int statements;

  /** What one endpoint has said, and its last row. */
  private static final class Known {
    FleetEndpoint row;
    boolean listed = true;
    long leavingStart;
    final Map<Long, Long> pauseEndMillisByStart = new HashMap<>();

    Known(FleetEndpoint row) {
      this.row = row;
    }

    boolean closedAt(long millis) {
      return leavingStart >= row.startedMillis() || pauseEndMillis() > millis;
    }

    long pauseEndMillis() {
      return pauseEndMillisByStart.getOrDefault(row.startedMillis(), 0L);
    }
  }

  StatementsHistory(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Plays the history and returns the number of statements that endpoints made. */
  int play() {
    for (FleetEndpoint row :
        List.of(
            relay.model("a", 0, 5),
            relay.model("b", 0, 5),
            relay.model("c", 5, 10),
            relay.model("d", 5, 10),
            relay.empty("e"),
            relay.plain("p"),
            relay.plain("q"))) {
      endpoints.put(row.id(), new Known(row));
    }
    list();
    for (int step = 0; step < STEPS; step++) {
      step();
      observe();
    }
    recover();
    return statements;
  }

  private void step() {
    switch (random.nextInt(16)) {
      case 0, 1, 2, 3, 4 -> relay.request(ROUTES.get(random.nextInt(ROUTES.size())));
      case 5, 6 -> answer();
      case 7, 8 -> refuse();
      case 9 -> leave(drawn());
      case 10 -> restart(drawn());
      case 11 -> toggleListed(drawn());
      case 12 -> failStore();
      case 13 -> list();
      default -> advance(random.nextInt(400));
    }
  }

  private Known drawn() {
    List<Known> all = new ArrayList<>(endpoints.values());
    return all.get(random.nextInt(all.size()));
  }

  private void advance(long millis) {
    long rounded = millis / 5 * 5 + 5;
    for (long elapsed = 0; elapsed < rounded; elapsed += 5) {
      nowMillis += 5;
      relay.advanceMillis(5);
      observe();
    }
  }

  private void list() {
    List<FleetEndpoint> rows = new ArrayList<>();
    for (Known known : endpoints.values()) {
      known.row = known.row.withRowVersion(RelayHarness.version(++rowVersion));
      if (known.listed) {
        rows.add(known.row);
      }
    }
    relay.post(
        new RelayEvent.EndpointsListed(
            rows, RelayHarness.version(++rowVersion), relay.storeMillis()));
  }

  private void toggleListed(Known known) {
    known.listed = !known.listed;
    list();
  }

  private void restart(Known known) {
    known.row =
        RelayHarness.restarted(known.row, known.row.startedMillis() + 1, known.row.rowVersion());
    known.listed = true;
    list();
  }

  private void failStore() {
    relay.post(new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE));
    relay.post(new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE));
  }

  /** The endpoint says that it leaves, or an answer of an earlier start arrives late. */
  private void leave(Known known) {
    long start = known.row.startedMillis() - random.nextInt(2);
    known.leavingStart = Math.max(known.leavingStart, start);
    stated(
        known,
        start,
        new EndpointStatement(true, OptionalLong.empty(), StatedLimit.NONE, Optional.empty()));
  }

  private void stated(Known known, long start, EndpointStatement statement) {
    statements++;
    relay.post(
        new RelayEvent.EndpointStated(new EndpointIncarnation(known.row.id(), start), statement));
  }

  private Optional<RelayEffect.Send> drawRunning() {
    running.keySet().removeIf(id -> !relay.state().open.containsKey(id));
    List<RelayEffect.Send> all = new ArrayList<>(running.values());
    return all.isEmpty() ? Optional.empty() : Optional.of(all.get(random.nextInt(all.size())));
  }

  private void answer() {
    Optional<RelayEffect.Send> send = drawRunning();
    if (send.isPresent()) {
      relay.answerReceived(send.get().id(), send.get().attempt(), 200);
      relay.post(
          new RelayEvent.AnswerRelayed(
              send.get().id(), send.get().attempt(), RelayHarness.EVIDENCE));
    }
  }

  private void refuse() {
    Optional<RelayEffect.Send> send = drawRunning();
    if (send.isEmpty()) {
      return;
    }
    Known known = endpoints.get(send.get().options().expectedEndpoint());
    long pauseMillis = 1 + random.nextInt(3_000);
    known.pauseEndMillisByStart.merge(
        known.row.startedMillis(), nowMillis + pauseMillis, Math::max);
    stated(
        known,
        known.row.startedMillis(),
        new EndpointStatement(
            false, OptionalLong.of(pauseMillis), StatedLimit.NONE, Optional.empty()));
    relay.post(
        new RelayEvent.AnswerReceived(
            send.get().id(),
            send.get().attempt(),
            new AnswerSummary(503, false, true, Optional.empty(), true, StatedLimit.NONE)));
  }

  private void observe() {
    List<RelayEffect> effects = relay.effectsOf(RelayEffect.class);
    for (RelayEffect effect : effects.subList(effectsSeen, effects.size())) {
      if (effect instanceof RelayEffect.Send send) {
        requireOpen(send.options().expectedEndpoint(), send);
        send.options().path().ifPresent(path -> requirePath(path, send));
        running.put(send.id(), send);
      } else if (effect instanceof RelayEffect.Order order) {
        requireOpen(order.order().endpoint(), order);
      } else if (effect instanceof RelayEffect.AnswerLocally answer) {
        requireEarliestEnd(answer);
      }
    }
    effectsSeen = effects.size();
    for (EndpointId id : endpoints.keySet()) {
      boolean suspected =
          relay.state().fleet.find(id).filter(known -> known.suspectedAt(0)).isPresent();
      require(!suspected, "no suspicion of " + id);
    }
  }

  private void requirePath(LayerPath path, RelayEffect effect) {
    for (PathPart part : path.parts()) {
      requireOpen(part.endpoint(), effect);
    }
  }

  private void requireOpen(EndpointId id, RelayEffect effect) {
    require(!endpoints.get(id).closedAt(nowMillis), "nothing new for " + id + ": " + effect);
  }

  private void requireEarliestEnd(RelayEffect.AnswerLocally effect) {
    if (effect.answer().reason().equals("endpoints-paused")
        && effect.answer().retryAfterMillis().isPresent()) {
      long retryMillis = effect.answer().retryAfterMillis().getAsLong();
      boolean explained =
          endpoints.values().stream()
              .mapToLong(known -> known.pauseEndMillis() - nowMillis)
              .anyMatch(rest -> rest > 0 && rest <= retryMillis && retryMillis <= rest * 1.25 + 1);
      require(explained, "a Retry-After that a pause explains: " + effect);
    }
  }

  /** All endpoints restart: each must serve again at once. */
  private void recover() {
    endpoints.values().forEach(this::restart);
    advance(3_000);
    int before = effectsSeen;
    relay.request("read");
    relay.request("stream");
    observe();
    long sends =
        relay.effectsOf(RelayEffect.class).subList(before, effectsSeen).stream()
            .filter(RelayEffect.Send.class::isInstance)
            .count();
    require(sends == 2, "both requests sent after restarts of all endpoints, not " + sends);
  }

  private static void require(boolean condition, String expected) {
    if (!condition) {
      throw new AssertionError("expected " + expected);
    }
  }
}
