package io.zinniawood.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the results of the requests of one workload. Thread-safe. */
final class WorkloadRecorder {
  /** Longer latencies are recorded as this value, 10 minutes. */
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

  /** Counts a request that was sent. */
  synchronized void sent() {
    sent++;
  }

  /** Counts a refused or failed request by its problem type and outcome. */
  synchronized void problem(String typeAndOutcome) {
    problems.merge(typeAndOutcome, 1L, Long::sum);
  }

  /** Counts a request whose connection broke without an outcome. */
  synchronized void broken() {
    broken++;
  }

  /** Records a token and the time since the previous token or the intended send time. */
  synchronized void token(long nowNanos, long elapsedMicros, TokenPosition position) {
    tokens++;
    timeline.countToken(nowNanos);
    Histogram histogram = position == TokenPosition.FIRST ? firstTokenMicros : tokenGapMicros;
    histogram.recordValue(clamp(elapsedMicros));
  }

  /** Records a complete response and the time since the intended send time. */
  synchronized void completed(long nowNanos, long elapsedMicros, ResponseTimes times) {
    completed++;
    timeline.countCompleted(nowNanos);
    totalMicros.recordValue(clamp(elapsedMicros));
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

  /** Position of a token in its response. */
  enum TokenPosition {
    FIRST,
    LATER
  }
}
