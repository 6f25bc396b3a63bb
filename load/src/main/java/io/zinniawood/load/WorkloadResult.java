package io.zinniawood.load;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Result of one workload. Latencies count from the intended send time.
 *
 * @param name name of the workload
 * @param sent requests sent
 * @param completed requests with a whole answer
 * @param problems refused or failed requests by problem type and outcome
 * @param broken requests whose connection broke without an outcome
 * @param tokens tokens received
 * @param withinObjective completed requests that kept both latency limits
 * @param totalMicros time to the whole answer in microseconds
 * @param firstTokenMicros time to the first token in microseconds
 * @param tokenGapMicros time between tokens in microseconds
 */
public record WorkloadResult(
    String name,
    long sent,
    long completed,
    Map<String, Long> problems,
    long broken,
    long tokens,
    long withinObjective,
    Histogram totalMicros,
    Histogram firstTokenMicros,
    Histogram tokenGapMicros) {}
