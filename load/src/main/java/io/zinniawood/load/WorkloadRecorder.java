package io.zinniawood.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the result of one workload. Thread-safe. */
final class WorkloadRecorder {
  private static final long MAX_MICROS = 600_000_000;
  private static final int DIGITS = 3;

  private final String name;
  private final LatencyLimits limits;
  private final Timeline timeline;
  private final Map<String, Long> problems = new TreeMap<>();
  private final Histogram totalMicros = new Histogram(MAX_MICROS, DIGITS);
  private final Histogram firstTokenMicros = new Histogram(MAX_MICROS, DIGITS);
  private final Histogram tokenGapMicros = new Histogram(MAX_MICROS, DIGITS);
  private long sent;
  private long completed;
  private long broken;
  private long tokens;
  private long withinObjective;

  WorkloadRecorder(String name, LatencyLimits limits, Timeline timeline) {
    this.name = name;
    this.limits = limits;
    this.timeline = timeline;
  }

  synchronized void sent() {
    sent++;
  }

  synchronized void problem(String typeAndOutcome) {
    problems.merge(typeAndOutcome, 1L, Long::sum);
  }

  synchronized void broken() {
    broken++;
  }

  synchronized void token(long nowNanos, long sinceMicros, TokenPlace place) {
    tokens++;
    timeline.countToken(nowNanos);
    Histogram histogram = place == TokenPlace.FIRST ? firstTokenMicros : tokenGapMicros;
    histogram.recordValue(bounded(sinceMicros));
  }

  synchronized void completed(long nowNanos, long sinceMicros, AnswerTimes times) {
    completed++;
    timeline.countCompleted(nowNanos);
    totalMicros.recordValue(bounded(sinceMicros));
    if (times.keeps(limits)) {
      withinObjective++;
    }
  }

  synchronized WorkloadResult result() {
    return new WorkloadResult(
        name,
        sent,
        completed,
        Map.copyOf(problems),
        broken,
        tokens,
        withinObjective,
        totalMicros.copy(),
        firstTokenMicros.copy(),
        tokenGapMicros.copy());
  }

  private static long bounded(long micros) {
    return Math.max(0, Math.min(MAX_MICROS, micros));
  }

  /** Place of a token in its answer. */
  enum TokenPlace {
    FIRST,
    LATER
  }
}
