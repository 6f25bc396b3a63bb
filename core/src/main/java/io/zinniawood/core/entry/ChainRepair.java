package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.ChainSelector.Choosing;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.StageAddress;

/**
 * Chain of a session with substitutes for some of its stages.
 *
 * @param chain stages of the new chain
 * @param substitutes stages that are new in it
 */
record ChainRepair(Vector<StageAddress> chain, Vector<Choosing> substitutes) {

  /**
   * Returns the chain with each run of lost stages replaced by one or more endpoints that cover the
   * same layers, or none if some run cannot be covered.
   */
  static Option<ChainRepair> find(Turn turn, Session session, Set<Integer> lost) {
    Vector<StageAddress> chain = Vector.empty();
    Vector<Choosing> substitutes = Vector.empty();
    int index = 0;
    while (index < session.chain().length()) {
      int end = index;
      while (end < session.chain().length() && lost.contains(end)) {
        end++;
      }
      if (end == index) {
        chain = chain.append(session.chain().get(index));
        index++;
        continue;
      }
      Option<Vector<Choosing>> found = substitute(turn, session, lost, index, end);
      if (found.isEmpty()) {
        return Option.none();
      }
      chain = chain.appendAll(StageSessions.addresses(found.get()));
      substitutes = substitutes.appendAll(found.get());
      index = end;
    }
    return Option.some(new ChainRepair(chain, substitutes));
  }

  Set<EndpointId> newEndpoints() {
    return substitutes.map(choosing -> choosing.stage().member().endpoint()).toSet();
  }

  /** Prefers endpoints outside of the chain; otherwise a new run of a lost endpoint will do. */
  private static Option<Vector<Choosing>> substitute(
      Turn turn, Session session, Set<Integer> lost, int from, int endExclusive) {
    LayerRange range =
        new LayerRange(
            session.chain().get(from).layers().fromLayer(),
            session.chain().get(endExclusive - 1).layers().toLayerExclusive());
    Set<EndpointId> all = session.chain().map(StageAddress::endpoint).toSet();
    Vector<StageAddress> given = lost.toVector().map(session.chain()::get);
    Set<EndpointId> survivors = all.removeAll(given.map(StageAddress::endpoint));
    return selectChain(turn, session, range, all)
        .orElse(
            () ->
                selectChain(turn, session, range, survivors)
                    .filter(
                        chain ->
                            !StageSessions.addresses(chain)
                                .exists(
                                    stage -> SessionRecovery.containsIncarnation(given, stage))));
  }

  private static Option<Vector<Choosing>> selectChain(
      Turn turn, Session session, LayerRange range, Set<EndpointId> avoid) {
    Headroom headroom =
        session.inputSent() ? Headroom.RECOVERY : Headroom.ofNew(session.arrival().priority());
    return EndpointSelection.selectChain(turn, range, session.arrival(), avoid, headroom);
  }
}
