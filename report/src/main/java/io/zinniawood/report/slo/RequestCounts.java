package io.zinniawood.report.slo;

import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;

/**
 * Numbers of requests by result in one interval.
 *
 * @param requests all requests
 * @param notAnswered requests without an answer, including those of unknown outcome
 * @param unknown requests of unknown outcome
 * @param measured answers whose latency was measured
 * @param late answers that exceeded a latency limit
 * @param failureCauses number of requests without an answer by cause
 * @param lateCauses number of late answers by cause
 */
public record RequestCounts(
    long requests,
    long notAnswered,
    long unknown,
    long measured,
    long late,
    SortedMap<String, Long> failureCauses,
    SortedMap<String, Long> lateCauses) {

  /** Limits the memory of one interval; causes are phrases of the program, not text of callers. */
  public static final int MAX_CAUSES = 16;

  /** Cause under which all causes beyond {@link #MAX_CAUSES} are counted. */
  public static final String OTHER_CAUSES = "other causes";

  /** Counts without any requests. */
  public static final RequestCounts NONE =
      new RequestCounts(0, 0, 0, 0, 0, TreeMap.empty(), TreeMap.empty());

  /** Returns the sum of two counts; the numbers do not depend on the order of addition. */
  public RequestCounts plus(RequestCounts other) {
    return new RequestCounts(
        requests + other.requests,
        notAnswered + other.notAnswered,
        unknown + other.unknown,
        measured + other.measured,
        late + other.late,
        limitCauses(failureCauses.merge(other.failureCauses, Long::sum)),
        limitCauses(lateCauses.merge(other.lateCauses, Long::sum)));
  }

  /** Returns a copy of these counts with one more request. */
  public RequestCounts with(Observation observation) {
    boolean failed = observation.answer() != Observation.Answer.ANSWERED;
    boolean late = observation.latency() == Observation.Latency.LATE;
    boolean measured = observation.latency() != Observation.Latency.NOT_MEASURED;
    SortedMap<String, Long> cause =
        TreeMap.of(observation.cause().getOrElse("cause not known"), 1L);
    return plus(
        new RequestCounts(
            1,
            failed ? 1 : 0,
            observation.answer() == Observation.Answer.OUTCOME_UNKNOWN ? 1 : 0,
            measured ? 1 : 0,
            late ? 1 : 0,
            failed ? cause : TreeMap.empty(),
            late ? cause : TreeMap.empty()));
  }

  /** Returns the number of requests to which the indicator applies. */
  public long total(Indicator indicator) {
    return indicator == Indicator.ANSWERED ? requests : measured;
  }

  /** Returns the number of requests that are bad according to the indicator. */
  public long bad(Indicator indicator) {
    return indicator == Indicator.ANSWERED ? notAnswered : late;
  }

  /** Returns the number of bad requests of the indicator by cause. */
  public SortedMap<String, Long> causes(Indicator indicator) {
    return indicator == Indicator.ANSWERED ? failureCauses : lateCauses;
  }

  /** Returns the share of bad requests of the indicator, none if it applies to no request. */
  public Option<Double> badShare(Indicator indicator) {
    long total = total(indicator);
    return total == 0 ? Option.none() : Option.of((double) bad(indicator) / total);
  }

  private static SortedMap<String, Long> limitCauses(SortedMap<String, Long> causes) {
    if (causes.size() <= MAX_CAUSES) {
      return causes;
    }
    Map<String, Long> kept =
        TreeMap.ofEntries(
            causes
                .remove(OTHER_CAUSES)
                .toVector()
                .sortBy(entry -> -entry._2())
                .take(MAX_CAUSES - 1));
    long keptSum = kept.values().sum().longValue();
    long sum = causes.values().sum().longValue();
    return TreeMap.<String, Long>ofEntries(kept.toVector()).put(OTHER_CAUSES, sum - keptSum);
  }
}
