package io.zinniawood.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Context of one reducer call: the state, the current time and the effects emitted so far. */
final class RelayTurn {
  final RelayState state;
  final long nowNanos;
  private final List<RelayEffect> effects = new ArrayList<>();

  RelayTurn(RelayState state, long nowNanos) {
    this.state = state;
    this.nowNanos = nowNanos;
  }

  void emit(RelayEffect effect) {
    effects.add(effect);
  }

  void log(String event, Object... namesAndValues) {
    effects.add(new RelayEffect.LogDecision(Decision.of(event, namesAndValues)));
  }

  /** Logs an entry and states whether it tells of a suspicious answer. */
  void logSuspicious(boolean suspicious, String event, Object... namesAndValues) {
    effects.add(
        new RelayEffect.LogDecision(Decision.of(event, namesAndValues).withSuspicious(suspicious)));
  }

  List<RelayEffect> effects() {
    return effects;
  }

  long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
  }

  long millisUntil(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos - nowNanos);
  }
}
