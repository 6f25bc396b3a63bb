package io.zinniawood.core.agent;

import io.vavr.collection.HashMap;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.NodeAddress;

/**
 * State of the stage sessions.
 *
 * @param sessions open sessions
 * @param ready sessions with pending inputs, in order of arrival
 * @param batch sessions with steps in the batch that the engine runs
 * @param keptBytes size of all kept outputs in bytes
 * @param early frames that wait for their session
 * @param closed last closed epoch of sessions that ended, a bounded number
 * @param exports agents that asked for the KV cache of a session
 * @param reconnecting addresses to which a fresh connection is tried
 * @param stepsDone steps that the engine finished since the last status interval
 * @param tokensPerSecond decode throughput of the last status interval
 */
record StageState(
    Map<SessionId, StageSession> sessions,
    Vector<SessionId> ready,
    Vector<SessionId> batch,
    long keptBytes,
    EarlyFrames early,
    Map<SessionId, Epoch> closed,
    Map<SessionId, Set<PeerId>> exports,
    Map<NodeAddress, Reconnect> reconnecting,
    int stepsDone,
    double tokensPerSecond) {
  private static final int MAX_CLOSED = 4_096;

  /**
   * Fresh connection to a next stage.
   *
   * @param endpoint endpoint of the next stage
   * @param sinceNanos time at which it was first tried
   */
  record Reconnect(EndpointId endpoint, long sinceNanos) {}

  static StageState initial() {
    return new StageState(
        HashMap.empty(),
        Vector.empty(),
        Vector.empty(),
        0,
        EarlyFrames.empty(),
        LinkedHashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        0,
        0);
  }

  /** Tells whether an epoch of a session ended here. */
  boolean isClosed(SessionId session, Epoch epoch) {
    return closed.get(session).exists(last -> epoch.compareTo(last) <= 0);
  }

  StageState withSession(StageSession session) {
    return withSessions(sessions.put(session.id(), session));
  }

  StageState withSessions(Map<SessionId, StageSession> value) {
    return new StageState(
        value,
        ready,
        batch,
        keptBytes,
        early,
        closed,
        exports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withReady(Vector<SessionId> value) {
    return new StageState(
        sessions,
        value,
        batch,
        keptBytes,
        early,
        closed,
        exports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withBatch(Vector<SessionId> value) {
    return new StageState(
        sessions,
        ready,
        value,
        keptBytes,
        early,
        closed,
        exports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withKeptBytes(long value) {
    return new StageState(
        sessions,
        ready,
        batch,
        value,
        early,
        closed,
        exports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withEarly(EarlyFrames value) {
    return new StageState(
        sessions,
        ready,
        batch,
        keptBytes,
        value,
        closed,
        exports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withClosed(SessionId session, Epoch epoch) {
    Map<SessionId, Epoch> more = closed.put(session, epoch);
    return new StageState(
        sessions,
        ready,
        batch,
        keptBytes,
        early,
        more.size() > MAX_CLOSED ? more.tail() : more,
        exports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withExports(Map<SessionId, Set<PeerId>> value) {
    return new StageState(
        sessions,
        ready,
        batch,
        keptBytes,
        early,
        closed,
        value,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withReconnecting(Map<NodeAddress, Reconnect> value) {
    return new StageState(
        sessions,
        ready,
        batch,
        keptBytes,
        early,
        closed,
        exports,
        value,
        stepsDone,
        tokensPerSecond);
  }

  StageState withThroughput(int steps, double value) {
    return new StageState(
        sessions, ready, batch, keptBytes, early, closed, exports, reconnecting, steps, value);
  }
}
