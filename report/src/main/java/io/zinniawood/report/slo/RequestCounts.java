package io.zinniawood.report.slo;

import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;

/**
 * Counts of requests in one interval.
 *
 * @param requests requests
 * @param notAnswered requests without an answer, with those of unknown outcome
 * @param unknown requests of unknown outcome
 * @param measured answers with times
 * @param late answers that exceeded a time
 * @param failureCauses requests without an answer by cause
 * @param lateCauses late answers by cause
 */
public record RequestCounts(
    long requests,
    long notAnswered,
    long unknown,
    long measured,
    long late,
    SortedMap<String, Long> failureCauses,
    SortedMap<String, Long> lateCauses) {

  /** Bounds the memory of one interval; a cause is a phrase of the program, not caller's text. */
  public static final int MAX_CAUSES = 16;

  /** Cause that stands for all causes beyond the bound. */
  public static final String OTHER_CAUSES = "other causes";

  /** No requests. */
  public static final RequestCounts NONE =
      new RequestCounts(0, 0, 0, 0, 0, TreeMap.empty(), TreeMap.empty());

  /** Returns the sum of two counts; the order of many sums does not change the numbers. */
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

  /** Returns these counts with one more request. */
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

  /** Returns the number of requests that the indicator judges. */
  public long total(Indicator indicator) {
    return indicator == Indicator.ANSWERED ? requests : measured;
  }

  /** Returns the number of requests that failed the indicator. */
  public long bad(Indicator indicator) {
    return indicator == Indicator.ANSWERED ? notAnswered : late;
  }

  /** Returns the requests that failed the indicator by cause. */
  public SortedMap<String, Long> causes(Indicator indicator) {
    return indicator == Indicator.ANSWERED ? failureCauses : lateCauses;
  }

  /** Returns the share of requests that failed the indicator, none without requests. */
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
