package io.zinniawood.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

/** Renders a load result as JSON. */
public final class LoadJsonRenderer {
  private static final ObjectMapper JSON = new ObjectMapper();

  private LoadJsonRenderer() {}

  /** Returns the result as an indented JSON object. */
  public static String render(LoadResult result) {
    ObjectNode root = JSON.createObjectNode();
    root.put("target", result.plan().target().toString());
    root.put("duration_ms", result.plan().durationMillis());
    root.put("seed", result.plan().seed());
    root.put("elapsed_ms", result.elapsedMillis());
    root.put("tokens", result.tokens());
    root.put("completed", result.completed());
    root.put("within_objective", result.withinObjective());
    ArrayNode workloads = root.putArray("workloads");
    for (WorkloadResult workload : result.workloads()) {
      addWorkload(workloads.addObject(), workload);
    }
    ObjectNode timeline = root.putObject("timeline");
    timeline.put("interval_ms", result.timeline().intervalMillis());
    addCounts(timeline.putArray("tokens"), result.timeline().tokens());
    addCounts(timeline.putArray("completed"), result.timeline().completed());
    return root.toPrettyString();
  }

  private static void addCounts(ArrayNode array, long[] counts) {
    for (long count : counts) {
      array.add(count);
    }
  }

  private static void addWorkload(ObjectNode node, WorkloadResult workload) {
    node.put("name", workload.name());
    node.put("sent", workload.sent());
    node.put("completed", workload.completed());
    node.put("within_objective", workload.withinObjective());
    node.put("broken", workload.broken());
    node.put("tokens", workload.tokens());
    ObjectNode problems = node.putObject("problems");
    workload.problems().forEach(problems::put);
    addHistogram(node, "answer_us", workload.totalMicros());
    addHistogram(node, "first_token_us", workload.firstTokenMicros());
    addHistogram(node, "token_gap_us", workload.tokenGapMicros());
  }

  private static void addHistogram(ObjectNode node, String name, Histogram micros) {
    if (micros.getTotalCount() == 0) {
      return;
    }
    ObjectNode values = node.putObject(name);
    values.put("count", micros.getTotalCount());
    values.put("p50", micros.getValueAtPercentile(50));
    values.put("p95", micros.getValueAtPercentile(95));
    values.put("p99", micros.getValueAtPercentile(99));
    values.put("max", micros.getMaxValue());
  }
}
