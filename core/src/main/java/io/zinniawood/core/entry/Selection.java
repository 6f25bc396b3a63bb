package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.ChainSelector;
import io.zinniawood.core.entry.routing.Stage;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.Priority;
import java.util.Comparator;

/** Chooses endpoints for new work among those that take it. */
final class Selection {
  private Selection() {}

  /** Returns a chain for a range of a model's layers, or none if the range is not covered. */
  static Option<Vector<Stage>> chain(
      Turn turn, ModelId model, LayerRange range, long prefixHash, Priority priority) {
    Vector<Stage> stages =
        available(turn, priority).flatMap(member -> stage(member, model)).toVector();
    return ChainSelector.choose(
        stages, range, prefixHash, turn.cluster().routing().affinityLoadFactor());
  }

  /** Returns the least loaded endpoint of a service, or none if all are excluded or full. */
  static Option<Member> service(
      Turn turn, ServiceName service, Set<EndpointId> avoid, Priority priority) {
    return available(turn, priority)
        .filter(member -> serves(member, service) && !avoid.contains(member.endpoint()))
        .minBy(
            Comparator.<Member>comparingDouble(
                    member -> (member.inFlight() + 1.0) / member.limit().whole())
                .thenComparing(Member::endpoint));
  }

  /** Tells whether an endpoint of the fleet serves the service, whether or not it is free. */
  static boolean serviceExists(Turn turn, ServiceName service) {
    return turn.fleet().members().values().exists(m -> m.takesWork() && serves(m, service));
  }

  private static Vector<Member> available(Turn turn, Priority priority) {
    return turn.fleet()
        .members()
        .values()
        .filter(
            member ->
                member.takesWork()
                    && !member.health().ejected(turn.nowNanos())
                    && member.inFlight() < limit(member, priority))
        .toVector();
  }

  /** Lower priorities leave a part of the limit free for higher ones. */
  private static int limit(Member member, Priority priority) {
    int whole = member.limit().whole();
    return switch (priority) {
      case INTERACTIVE -> whole;
      case NORMAL -> Math.max(1, whole * 9 / 10);
      case BATCH -> Math.max(1, whole * 7 / 10);
    };
  }

  private static boolean serves(Member member, ServiceName service) {
    return member
        .capability()
        .exists(c -> c instanceof Capability.PlainService plain && plain.service().equals(service));
  }

  private static Option<Stage> stage(Member member, ModelId model) {
    return member
        .capability()
        .filter(c -> c instanceof Capability.ModelStage stage && stage.model().equals(model))
        .map(c -> (Capability.ModelStage) c)
        .map(c -> new Stage(member, c.layers(), Math.max(1e-6, c.tokensPerSecond())));
  }
}
