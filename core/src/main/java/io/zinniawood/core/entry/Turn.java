package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.runtime.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * One turn of the reducer, which handles one event: holds the changing state and the effects so
 * far. It is discarded after the event and never part of the state.
 */
final class Turn {
  private final long nowNanos;
  private final List<EntryEffect> effects = new ArrayList<>();
  private EntryState state;

  Turn(EntryState state, long nowNanos) {
    this.state = state;
    this.nowNanos = nowNanos;
  }

  long nowNanos() {
    return nowNanos;
  }

  EntryState state() {
    return state;
  }

  Fleet fleet() {
    return state.fleet();
  }

  /** Returns the configuration in force; fails if none has been accepted. */
  ClusterConfiguration cluster() {
    return state.cluster().get();
  }

  /**
   * What this turn had decided at some point.
   *
   * @param effects number of effects
   */
  record Savepoint(EntryState state, int effects) {}

  Savepoint savepoint() {
    return new Savepoint(state, effects.size());
  }

  /** Drops all changes and effects since a savepoint of this turn. */
  void restore(Savepoint savepoint) {
    state = savepoint.state();
    effects.subList(savepoint.effects(), effects.size()).clear();
  }

  void update(UnaryOperator<EntryState> change) {
    state = change.apply(state);
  }

  void emit(EntryEffect effect) {
    effects.add(effect);
  }

  /**
   * Sends a message to one incarnation of an agent; the shell drops it if that incarnation is not
   * connected.
   */
  void send(EndpointId endpoint, Incarnation incarnation, Message message) {
    effects.add(new EntryEffect.SendToAgent(endpoint, incarnation, message));
  }

  void startTimer(EntryTimer timer, long delayNanos) {
    effects.add(new EntryEffect.StartTimer(timer, Math.max(0, delayNanos)));
  }

  void cancelTimer(EntryTimer timer) {
    effects.add(new EntryEffect.CancelTimer(timer));
  }

  void recordIncident(IncidentKind kind, String subject, String detail) {
    effects.add(new EntryEffect.RecordIncident(new Incident(kind, subject, detail)));
  }

  /**
   * Records an incident of a kind that may occur in large numbers, at most once per kind and
   * subject until {@link Maintenance} removes the record of the report.
   */
  void recordIncidentOnce(IncidentKind kind, String subject, String detail) {
    String key = kind + " " + subject;
    if (!state.usage().incidentTimesNanos().containsKey(key)) {
      state = state.withUsage(state.usage().withIncident(key, nowNanos));
      recordIncident(kind, subject, detail);
    }
  }

  /** Updates one endpoint; does nothing if the fleet does not contain it. */
  void updateMember(EndpointId endpoint, UnaryOperator<Member> change) {
    state
        .fleet()
        .member(endpoint)
        .forEach(member -> state = state.withFleet(state.fleet().with(change.apply(member))));
  }

  void putSession(Session session) {
    state = state.withSessions(state.sessions().put(session.id(), session));
  }

  AttemptId nextAttemptId() {
    state = state.withIds(state.ids().next());
    return state.ids().attemptId();
  }

  SessionId nextSessionId() {
    state = state.withIds(state.ids().next());
    return state.ids().sessionId();
  }

  /** Draws a random number in [0, 1) from the state's generator. */
  double nextDouble() {
    state = state.withIds(state.ids().next());
    return state.ids().randomDouble();
  }

  Step<EntryState, EntryEffect> toStep() {
    return new Step<>(state, Vector.ofAll(effects));
  }
}
