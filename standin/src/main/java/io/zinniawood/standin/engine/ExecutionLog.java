package io.zinniawood.standin.engine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the executions of each position of a session. The number of tracked sessions is bounded;
 * only the repeated executions of older sessions are kept.
 */
final class ExecutionLog {
  private static final int MAX_SESSIONS = 100_000;
  private static final int MAX_REPORTED = 1_000;
  private final Map<String, SessionExecutions> sessions = new LinkedHashMap<>();
  private final List<Execution> repeatedOfRemovedSessions = new ArrayList<>();
  private long steps;
  private long gaps;

  private static final class SessionExecutions {
    private final int fromLayer;
    private final int toLayerExclusive;
    private final BitSet executed = new BitSet();
    private final Map<Integer, Integer> repeated = new TreeMap<>();

    SessionExecutions(int fromLayer, int toLayerExclusive) {
      this.fromLayer = fromLayer;
      this.toLayerExclusive = toLayerExclusive;
    }
  }

  /**
   * A layer and position that ran more than once.
   *
   * @param session id of the session
   * @param layer index of the layer
   * @param position position in the session
   * @param count number of executions
   */
  record Execution(String session, int layer, int position, int count) {}

  /**
   * Summary of the executions.
   *
   * @param steps steps that ran
   * @param gaps steps whose preceding position had not been executed
   * @param repeated layers and positions that ran more than once, at most 1,000
   */
  record Report(long steps, long gaps, List<Execution> repeated) {}

  synchronized void record(
      String session, int position, int expectedPosition, int fromLayer, int toLayerExclusive) {
    SessionExecutions executions =
        sessions.computeIfAbsent(
            session, key -> new SessionExecutions(fromLayer, toLayerExclusive));
    steps++;
    if (position > expectedPosition) {
      gaps++;
    }
    if (executions.executed.get(position)) {
      executions.repeated.merge(position, 2, (old, first) -> old + 1);
    }
    executions.executed.set(position);
    if (sessions.size() > MAX_SESSIONS) {
      resetSession(sessions.keySet().iterator().next());
    }
  }

  /** Restarts the counts of a session whose state was released or replaced. */
  synchronized void resetSession(String session) {
    SessionExecutions executions = sessions.remove(session);
    if (executions != null) {
      addRepeated(session, executions, repeatedOfRemovedSessions);
    }
  }

  synchronized Report report() {
    List<Execution> repeated = new ArrayList<>(repeatedOfRemovedSessions);
    sessions.forEach((session, executions) -> addRepeated(session, executions, repeated));
    return new Report(steps, gaps, repeated);
  }

  private static void addRepeated(
      String session, SessionExecutions executions, List<Execution> destination) {
    executions.repeated.forEach(
        (position, count) -> {
          for (int layer = executions.fromLayer; layer < executions.toLayerExclusive; layer++) {
            if (destination.size() < MAX_REPORTED) {
              destination.add(new Execution(session, layer, position, count));
            }
          }
        });
  }
}
