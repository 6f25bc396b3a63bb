package io.zinniawood.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the result of one workload. Thread-safe. */
final class WorkloadRecorder {
  private static final long MAX_RECORDED_MICROS = 600_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final String name;
  private final LatencyLimits limits;
  private final Timeline timeline;
  private final Map<String, Long> problems = new TreeMap<>();
  private final Histogram totalMicros = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram firstTokenMicros = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram tokenGapMicros = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
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

  synchronized void token(long nowNanos, long sinceMicros, TokenPosition place) {
    tokens++;
    timeline.countToken(nowNanos);
    Histogram histogram = place == TokenPosition.FIRST ? firstTokenMicros : tokenGapMicros;
    histogram.recordValue(clamp(sinceMicros));
  }

  synchronized void completed(long nowNanos, long sinceMicros, ResponseTimes times) {
    completed++;
    timeline.countCompleted(nowNanos);
    totalMicros.recordValue(clamp(sinceMicros));
    if (times.isWithin(limits)) {
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

  private static long clamp(long micros) {
    return Math.max(0, Math.min(MAX_RECORDED_MICROS, micros));
  }

  /** Place of a token in its answer. */
  enum TokenPosition {
    FIRST,
    LATER
  }
}
