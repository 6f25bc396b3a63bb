package io.zinniawood.load;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Result of one workload. The times to the first token and to the complete response are measured
 * from the intended send time.
 *
 * @param name name of the workload
 * @param sent number of requests sent
 * @param completed number of requests with a complete response
 * @param problems number of refused or failed requests by problem type and outcome
 * @param broken number of requests whose connection broke without an outcome
 * @param tokens number of tokens received
 * @param withinObjective number of completed requests within both latency limits
 * @param totalMicros time to the complete response in microseconds
 * @param firstTokenMicros time to the first token in microseconds
 * @param tokenGapMicros gaps between tokens in microseconds
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
