package io.zinniawood.core.entry.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;

/**
 * Estimated time between tokens for each inbound link of an endpoint, from recent sessions. Reveals
 * engines and links that are slow without failing.
 *
 * <p>A session yields one measurement for its whole chain, which does not show which stage is slow.
 * The estimate is therefore a minimum that rises slowly: one fast session proves that the endpoint
 * and the link to it are fast, and only an endpoint whose sessions are all slow stays slow.
 *
 * @param gapNanosByLink estimated time between tokens in nanoseconds
 */
public record TokenGapEstimates(Map<InboundLink, Double> gapNanosByLink) {
  /** Estimates before any session has ended. */
  public static final TokenGapEstimates NONE = new TokenGapEstimates(HashMap.empty());

  /** Weight of a sample that is slower than the estimate; a faster one replaces the estimate. */
  private static final double SLOWER_SAMPLE_WEIGHT = 0.2;

  /** Ratio to the fastest up to which endpoints count as equally fast, because batch sizes vary. */
  private static final double EQUAL_SPEED_RATIO = 1.5;

  /**
   * Lower bound of the factor on the weight of a slow endpoint. Some sessions still use it and show
   * when it has become fast again.
   */
  private static final double MIN_WEIGHT_FACTOR = 0.05;

  /** Returns the estimates updated with the mean time between tokens of a session. */
  public TokenGapEstimates withSample(InboundLink link, double meanGapNanos) {
    double next =
        gapNanosByLink
            .get(link)
            .filter(known -> meanGapNanos > known)
            .map(known -> known + SLOWER_SAMPLE_WEIGHT * (meanGapNanos - known))
            .getOrElse(meanGapNanos);
    return new TokenGapEstimates(gapNanosByLink.put(link, next));
  }

  /** Returns the estimates without those of an endpoint that was removed or restarted. */
  public TokenGapEstimates withoutEndpoint(EndpointId endpoint) {
    Map<InboundLink, Double> others = gapNanosByLink.rejectKeys(link -> link.to().equals(endpoint));
    return others.size() == gapNanosByLink.size() ? this : new TokenGapEstimates(others);
  }

  /**
   * Returns the candidates with weights reduced in proportion to their time relative to the
   * fastest. Candidates without an estimate keep their weight.
   *
   * @param from data centre from which the selected stage receives its input
   * @param candidates equivalent endpoints
   */
  public Vector<Stage> adjustWeights(DataCentreId from, Vector<Stage> candidates) {
    double fastest =
        candidates
            .flatMap(stage -> gapNanosByLink.get(new InboundLink(from, stage.member().endpoint())))
            .min()
            .getOrElse(0.0);
    if (fastest <= 0) {
      return candidates;
    }
    return candidates.map(
        stage -> {
          double gap =
              gapNanosByLink.getOrElse(new InboundLink(from, stage.member().endpoint()), fastest);
          double factor =
              gap <= EQUAL_SPEED_RATIO * fastest ? 1 : Math.max(MIN_WEIGHT_FACTOR, fastest / gap);
          return new Stage(stage.member(), stage.layers(), stage.weight() * factor);
        });
  }

  /**
   * Link from a data centre to an endpoint.
   *
   * @param from data centre of the previous stage, or of the entry for the first stage
   */
  public record InboundLink(DataCentreId from, EndpointId to) {}
}
