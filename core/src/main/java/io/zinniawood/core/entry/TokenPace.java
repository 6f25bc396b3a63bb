package io.zinniawood.core.entry;

import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.Capability;

/**
 * Bounds the sessions of an endpoint by the time between tokens that the objective of the model
 * allows. An endpoint is busy with that many sessions; more of them bring no throughput and make
 * all of them miss the objective and their deadlines.
 */
final class TokenPace {
  /** Pace without an objective: ten tokens per second are as fast as people read. */
  private static final long DEFAULT_GAP_MILLIS = 100;

  /** Entries get unequal work, so the share of each one of several is larger than an equal part. */
  private static final double SHARE_SLACK = 1.25;

  private TokenPace() {}

  /** Tells whether an endpoint can give one more session of this entry its tokens in time. */
  static boolean allows(Turn turn, Member member, ModelId model, Headroom headroom) {
    return Selection.modelStage(member, model)
        .map(Capability.ModelStage::tokensPerSecond)
        .filter(tokensPerSecond -> tokensPerSecond > 0)
        .forAll(
            tokensPerSecond ->
                member.work().inFlight()
                    < headroom.most(sessions(turn, member, model, tokensPerSecond)));
  }

  private static int sessions(Turn turn, Member member, ModelId model, double tokensPerSecond) {
    double sessions = tokensPerSecond * gapMillis(turn, model) / 1_000;
    double entries = entriesAt(turn, member);
    double share = entries > 1 ? Math.ceil(sessions * SHARE_SLACK / entries) : sessions;
    return (int) Math.max(1, share);
  }

  private static long gapMillis(Turn turn, ModelId model) {
    return turn.cluster()
        .objectives()
        .filter(objective -> objective.target().equals(model.value()))
        .flatMap(Objective::tokenGapMillis)
        .min()
        .getOrElse(DEFAULT_GAP_MILLIS);
  }

  /** Returns the expected number of entries that have an endpoint of the pool in their subsets. */
  private static double entriesAt(Turn turn, Member member) {
    int pool =
        turn.fleet()
            .members()
            .values()
            .count(other -> other.placement().pool().equals(member.placement().pool()));
    double part = Math.min(1, (double) turn.cluster().routing().subsetSize() / pool);
    return turn.fleet().liveEntries() * part;
  }
}
