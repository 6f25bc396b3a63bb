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
 * @param readySessions sessions with pending inputs, in order of arrival
 * @param batch sessions with steps in the batch that the engine runs
 * @param keptBytes size of all kept outputs in bytes
 * @param earlyFrames frames that arrived too early to run
 * @param closedEpochs last closed epoch of each closed session, for a bounded number of sessions
 * @param pendingExports agents that wait for the KV cache of a session
 * @param reconnecting addresses to which a new connection is tried
 * @param stepsDone steps that the engine finished since the last status interval
 * @param tokensPerSecond decode throughput of the last status interval
 */
record StageState(
    Map<SessionId, StageSession> sessions,
    Vector<SessionId> readySessions,
    Vector<SessionId> batch,
    long keptBytes,
    EarlyFrames earlyFrames,
    Map<SessionId, Epoch> closedEpochs,
    Map<SessionId, Set<PeerId>> pendingExports,
    Map<NodeAddress, Reconnect> reconnecting,
    int stepsDone,
    double tokensPerSecond) {
  private static final int MAX_CLOSED_EPOCHS = 4_096;

  /**
   * New connection that is tried to a next stage.
   *
   * @param endpoint endpoint of the next stage
   * @param sinceNanos monotonic time of the last retry in nanoseconds
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

  /** Tells whether an epoch of a session, or a later one, was closed. */
  boolean isClosed(SessionId session, Epoch epoch) {
    return closedEpochs.get(session).exists(last -> epoch.compareTo(last) <= 0);
  }

  StageState withSession(StageSession session) {
    return withSessions(sessions.put(session.id(), session));
  }

  StageState withSessions(Map<SessionId, StageSession> value) {
    return new StageState(
        value,
        readySessions,
        batch,
        keptBytes,
        earlyFrames,
        closedEpochs,
        pendingExports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withReadySessions(Vector<SessionId> value) {
    return new StageState(
        sessions,
        value,
        batch,
        keptBytes,
        earlyFrames,
        closedEpochs,
        pendingExports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withBatch(Vector<SessionId> value) {
    return new StageState(
        sessions,
        readySessions,
        value,
        keptBytes,
        earlyFrames,
        closedEpochs,
        pendingExports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withKeptBytes(long value) {
    return new StageState(
        sessions,
        readySessions,
        batch,
        value,
        earlyFrames,
        closedEpochs,
        pendingExports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withEarlyFrames(EarlyFrames value) {
    return new StageState(
        sessions,
        readySessions,
        batch,
        keptBytes,
        value,
        closedEpochs,
        pendingExports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withClosedEpoch(SessionId session, Epoch epoch) {
    Map<SessionId, Epoch> more = closedEpochs.put(session, epoch);
    return new StageState(
        sessions,
        readySessions,
        batch,
        keptBytes,
        earlyFrames,
        more.size() > MAX_CLOSED_EPOCHS ? more.tail() : more,
        pendingExports,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withPendingExports(Map<SessionId, Set<PeerId>> value) {
    return new StageState(
        sessions,
        readySessions,
        batch,
        keptBytes,
        earlyFrames,
        closedEpochs,
        value,
        reconnecting,
        stepsDone,
        tokensPerSecond);
  }

  StageState withReconnecting(Map<NodeAddress, Reconnect> value) {
    return new StageState(
        sessions,
        readySessions,
        batch,
        keptBytes,
        earlyFrames,
        closedEpochs,
        pendingExports,
        value,
        stepsDone,
        tokensPerSecond);
  }

  StageState withThroughput(int steps, double value) {
    return new StageState(
        sessions,
        readySessions,
        batch,
        keptBytes,
        earlyFrames,
        closedEpochs,
        pendingExports,
        reconnecting,
        steps,
        value);
  }
}
