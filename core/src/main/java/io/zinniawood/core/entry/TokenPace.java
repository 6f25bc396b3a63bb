package io.zinniawood.core.entry;

import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.Capability;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the sessions of an endpoint by the time between tokens that the objective of the model
 * allows. An endpoint is busy with that many sessions; more of them bring no throughput and make
 * all of them miss the objective and their deadlines.
 *
 * @param model the model
 * @param gapMillis time between tokens in milliseconds
 * @param liveEntries live entries in the VM list
 * @param subsetSize endpoints of a pool to which an entry connects
 * @param poolSizes known endpoints of each pool
 */
record TokenPace(
    ModelId model,
    long gapMillis,
    int liveEntries,
    int subsetSize,
    Map<PoolId, Integer> poolSizes) {
  /** Pace without an objective: ten tokens per second are as fast as people read. */
  private static final long DEFAULT_GAP_MILLIS = 100;

  /**
   * Mean time between tokens of a busy endpoint as a share of the objective's. Objectives are for
   * 95 in 100 gaps; at the whole time as the mean, half of the answers missed it.
   */
  private static final double MEAN_GAP_SHARE = 0.75;

  /** Entries get unequal work, so the share of each one of several is larger than an equal part. */
  private static final double ENTRY_SHARE_SLACK = 1.25;

  /** Returns the pace of a model in the present configuration and fleet. */
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

  /** Tells whether an endpoint can give one more session of this entry its tokens in time. */
  boolean allows(Member member, Headroom headroom) {
    return EndpointSelection.modelStage(member, model)
        .map(Capability.ModelStage::tokensPerSecond)
        .filter(tokensPerSecond -> tokensPerSecond > 0)
        .forAll(
            tokensPerSecond ->
                member.work().inFlight() < headroom.most(maxSessions(member, tokensPerSecond)));
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
