package io.zinniawood.core.entry;

import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.Capability;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the sessions of an endpoint by the time between tokens that the objective of the model
 * allows. That many sessions saturate the endpoint; more of them add no throughput and make all of
 * them miss the objective and their deadlines.
 *
 * @param gapMillis time between tokens of the objective in milliseconds
 * @param liveEntries live entries in the VM list
 * @param subsetSize number of endpoints of a pool to which an entry connects
 * @param poolSizes number of known endpoints of each pool
 */
record TokenPace(
    ModelId model,
    long gapMillis,
    int liveEntries,
    int subsetSize,
    Map<PoolId, Integer> poolSizes) {
  /**
   * Time between tokens for models without an objective; people read about ten tokens per second.
   */
  private static final long DEFAULT_GAP_MILLIS = 100;

  /**
   * Mean time between tokens of a saturated endpoint, as a share of the objective's. Objectives
   * apply to 95% of the gaps; if the mean equals the objective, half of the answers miss it.
   */
  private static final double MEAN_GAP_SHARE = 0.75;

  /** Factor on the equal share of each entry if there are several, as entries get unequal work. */
  private static final double ENTRY_SHARE_SLACK = 1.25;

  /** Returns the pace of a model in the current configuration and fleet. */
  static TokenPace of(Turn turn, ModelId model) {
    Map<PoolId, Integer> poolSizes = new HashMap<>();
    for (Member member : turn.fleet().members().values()) {
      poolSizes.merge(member.placement().pool(), 1, Integer::sum);
    }
    long gapMillis =
        turn.cluster()
            .objectives()
            .filter(objective -> objective.target().equals(model.value()))
            .flatMap(Objective::tokenGapMillis)
            .min()
            .getOrElse(DEFAULT_GAP_MILLIS);
    return new TokenPace(
        model,
        gapMillis,
        turn.fleet().liveEntries(),
        turn.cluster().routing().subsetSize(),
        poolSizes);
  }

  /**
   * Tells whether an endpoint can serve one more session of this entry within the time between
   * tokens.
   */
  boolean allows(Member member, Headroom headroom) {
    return EndpointSelection.modelStage(member, model)
        .map(Capability.ModelStage::tokensPerSecond)
        .filter(tokensPerSecond -> tokensPerSecond > 0)
        .forAll(
            tokensPerSecond ->
                member.workload().inFlight()
                    < headroom.maxInFlight(maxSessions(member, tokensPerSecond)));
  }

  private int maxSessions(Member member, double tokensPerSecond) {
    double sessions = tokensPerSecond * gapMillis / 1_000 * MEAN_GAP_SHARE;
    double entries = expectedEntries(member);
    double share = entries > 1 ? Math.ceil(sessions * ENTRY_SHARE_SLACK / entries) : sessions;
    return (int) Math.max(1, share);
  }

  /** Returns the expected number of entries that have an endpoint of the pool in their subsets. */
  private double expectedEntries(Member member) {
    int pool = poolSizes.getOrDefault(member.placement().pool(), 1);
    return liveEntries * Math.min(1, (double) subsetSize / pool);
  }
}
