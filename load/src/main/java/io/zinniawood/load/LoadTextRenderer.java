package io.zinniawood.load;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Renders a load result as text for the terminal. */
public final class LoadTextRenderer {
  private LoadTextRenderer() {}

  /** Returns the result as lines of text. */
  public static String render(LoadResult result) {
    StringBuilder text = new StringBuilder();
    LoadPlan plan = result.plan();
    text.append(
        formatLine(
            "target %s, %d ms, seed %d, elapsed %d ms",
            plan.target(), plan.durationMillis(), plan.seed(), result.elapsedMillis()));
    text.append(
        formatLine(
            "tokens/s %.1f, completed/s %.2f, within objective %d of %d sent",
            result.tokens() * 1_000.0 / result.elapsedMillis(),
            result.completed() * 1_000.0 / result.elapsedMillis(),
            result.withinObjective(),
            result.workloads().stream().mapToLong(WorkloadResult::sent).sum()));
    for (WorkloadResult workload : result.workloads()) {
      appendWorkload(text, workload);
    }
    return text.toString();
  }

  private static void appendWorkload(StringBuilder text, WorkloadResult workload) {
    text.append(
        formatLine(
            "%s: sent %d, completed %d, within objective %d, broken %d, tokens %d",
            workload.name(),
            workload.sent(),
            workload.completed(),
            workload.withinObjective(),
            workload.broken(),
            workload.tokens()));
    appendHistogram(text, "whole answer", workload.totalMicros());
    appendHistogram(text, "first token", workload.firstTokenMicros());
    appendHistogram(text, "between tokens", workload.tokenGapMicros());
    for (Map.Entry<String, Long> problem :
        new java.util.TreeMap<>(workload.problems()).entrySet()) {
      text.append(formatLine("  refused or failed: %s: %d", problem.getKey(), problem.getValue()));
    }
  }

  private static void appendHistogram(StringBuilder text, String name, Histogram micros) {
    if (micros.getTotalCount() == 0) {
      return;
    }
    text.append(
        formatLine(
            "  %s ms: p50 %.2f, p95 %.2f, p99 %.2f, max %.2f (%d values)",
            name,
            micros.getValueAtPercentile(50) / 1_000.0,
            micros.getValueAtPercentile(95) / 1_000.0,
            micros.getValueAtPercentile(99) / 1_000.0,
            micros.getMaxValue() / 1_000.0,
            micros.getTotalCount()));
  }

  private static String formatLine(String format, Object... values) {
    return String.format(Locale.ROOT, format, values) + "\n";
  }
}
