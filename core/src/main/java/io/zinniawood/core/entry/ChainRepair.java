package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.ChainSelector.SelectedStage;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.StageAddress;

/**
 * New chain of a session, with substitutes for its lost stages.
 *
 * @param chain stages of the new chain
 * @param substitutes selected endpoints that are new in the chain
 */
record ChainRepair(Vector<StageAddress> chain, Vector<SelectedStage> substitutes) {

  /**
   * Returns the chain with each contiguous group of lost stages replaced by one or more endpoints
   * that cover the same layers, or none if a group cannot be covered.
   */
  static Option<ChainRepair> find(Turn turn, Session session, Set<Integer> lost) {
    Vector<StageAddress> chain = Vector.empty();
    Vector<SelectedStage> substitutes = Vector.empty();
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
      Option<Vector<SelectedStage>> found = substitute(turn, session, lost, index, end);
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
    return substitutes.map(selected -> selected.stage().member().endpoint()).toSet();
  }

  /**
   * Selects substitutes for a group of lost stages. Prefers endpoints outside of the chain;
   * otherwise accepts a lost endpoint in a new incarnation.
   */
  private static Option<Vector<SelectedStage>> substitute(
      Turn turn, Session session, Set<Integer> lost, int from, int endExclusive) {
    LayerRange range =
        new LayerRange(
            session.chain().get(from).layers().fromLayer(),
            session.chain().get(endExclusive - 1).layers().toLayerExclusive());
    Set<EndpointId> chainEndpoints = session.chain().map(StageAddress::endpoint).toSet();
    Vector<StageAddress> lostStages = lost.toVector().map(session.chain()::get);
    Set<EndpointId> survivors = chainEndpoints.removeAll(lostStages.map(StageAddress::endpoint));
    return selectChain(turn, session, range, chainEndpoints)
        .orElse(
            () ->
                selectChain(turn, session, range, survivors)
                    .filter(
                        chain ->
                            !StageSessions.addresses(chain)
                                .exists(
                                    stage ->
                                        SessionRecovery.containsIncarnation(lostStages, stage))));
  }

  private static Option<Vector<SelectedStage>> selectChain(
      Turn turn, Session session, LayerRange range, Set<EndpointId> avoid) {
    Headroom headroom =
        session.inputSent() ? Headroom.RECOVERY : Headroom.forNewWork(session.arrival().priority());
    return EndpointSelection.selectChain(turn, range, session.arrival(), avoid, headroom);
  }
}
