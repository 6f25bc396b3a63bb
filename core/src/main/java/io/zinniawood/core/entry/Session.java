package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.StageAddress;

/**
 * Stage session of one model request.
 *
 * @param id session
 * @param arrival the request
 * @param epoch epoch of the chain
 * @param chain stages in order of their layers
 * @param phase phase of this epoch
 * @param confirmed next position of each stage that confirmed this epoch, by its index
 * @param stepSent whether any input was ever sent, so that a stage may have run
 * @param sessions sessions that the request used, this one included
 * @param progress delivered tokens
 */
record Session(
    SessionId id,
    EntryEvent.ModelRequestArrived arrival,
    Epoch epoch,
    Vector<StageAddress> chain,
    SessionPhase phase,
    Map<Integer, Integer> confirmed,
    boolean stepSent,
    int sessions,
    Progress progress) {

  static Session first(
      SessionId id,
      EntryEvent.ModelRequestArrived arrival,
      Vector<StageAddress> chain,
      int sessions,
      Progress progress) {
    return new Session(
        id,
        arrival,
        new Epoch(1),
        chain,
        SessionPhase.OPENING,
        HashMap.empty(),
        false,
        sessions,
        progress);
  }

  /** Returns this session with a new chain in the next epoch. */
  Session nextEpoch(Vector<StageAddress> newChain, SessionPhase newPhase) {
    return new Session(
        id,
        arrival,
        new Epoch(epoch.value() + 1),
        newChain,
        newPhase,
        HashMap.empty(),
        stepSent,
        sessions,
        progress);
  }

  Session withProgress(Progress changed) {
    return new Session(id, arrival, epoch, chain, phase, confirmed, stepSent, sessions, changed);
  }

  Session withPhase(SessionPhase changed) {
    return new Session(id, arrival, epoch, chain, changed, confirmed, stepSent, sessions, progress);
  }

  Session confirm(int stageIndex, int nextPosition) {
    return new Session(
        id,
        arrival,
        epoch,
        chain,
        phase,
        confirmed.put(stageIndex, nextPosition),
        stepSent,
        sessions,
        progress);
  }

  /** Returns this session with its input sent for the next position. */
  Session running() {
    return new Session(
        id, arrival, epoch, chain, SessionPhase.RUNNING, confirmed, true, sessions, progress);
  }

  /** Tells whether every stage confirmed the epoch. */
  boolean allConfirmed() {
    return confirmed.size() == chain.size();
  }
}
