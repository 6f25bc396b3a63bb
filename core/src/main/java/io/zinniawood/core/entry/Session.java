package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.StageAddress;

/**
 * Stage session of one model request.
 *
 * @param id session
 * @param arrival the request
 * @param sessions sessions that the request used, this one included
 * @param epoch epoch of the chain
 * @param chain stages in order of their layers
 * @param phase phase of this epoch
 * @param confirmed next position of each stage that confirmed this epoch, by its index
 * @param fresh stages that are new in this epoch and must be rebuilt, by endpoint
 * @param retired stages of earlier epochs that still hold the session, as their KV cache may be
 *     imported
 * @param inputSent whether any input was ever sent, so that a stage may have run
 * @param progress delivered tokens
 */
record Session(
    SessionId id,
    EntryEvent.ModelRequestArrived arrival,
    int sessions,
    Epoch epoch,
    Vector<StageAddress> chain,
    SessionPhase phase,
    Map<Integer, Integer> confirmed,
    Set<EndpointId> fresh,
    Vector<StageAddress> retired,
    boolean inputSent,
    Progress progress) {

  /** Returns a new session in its first epoch. */
  static Session first(
      SessionId id,
      EntryEvent.ModelRequestArrived arrival,
      int sessions,
      Vector<StageAddress> chain,
      Progress progress) {
    return new Session(
        id,
        arrival,
        sessions,
        new Epoch(1),
        chain,
        SessionPhase.OPENING,
        HashMap.empty(),
        HashSet.empty(),
        Vector.empty(),
        false,
        progress);
  }

  /** Returns this session with its first chain. */
  Session opening(Vector<StageAddress> firstChain) {
    return new Session(
        id,
        arrival,
        sessions,
        epoch,
        firstChain,
        SessionPhase.OPENING,
        confirmed,
        fresh,
        retired,
        inputSent,
        progress);
  }

  /** Returns this session with a chain in the next epoch. */
  Session nextEpoch(
      Vector<StageAddress> nextChain, SessionPhase nextPhase, Set<EndpointId> nextFresh) {
    return new Session(
        id,
        arrival,
        sessions,
        new Epoch(epoch.value() + 1),
        nextChain,
        nextPhase,
        HashMap.empty(),
        nextFresh,
        retired,
        inputSent,
        progress);
  }

  Session withProgress(Progress changed) {
    return new Session(
        id, arrival, sessions, epoch, chain, phase, confirmed, fresh, retired, inputSent, changed);
  }

  Session withPhase(SessionPhase changed) {
    if (changed == phase) {
      return this;
    }
    return new Session(
        id, arrival, sessions, epoch, chain, changed, confirmed, fresh, retired, inputSent,
        progress);
  }

  Session withRetired(Vector<StageAddress> changed) {
    return new Session(
        id, arrival, sessions, epoch, chain, phase, confirmed, fresh, changed, inputSent, progress);
  }

  /** Returns this session waiting for a stage, with endpoints that must be rebuilt. */
  Session parked(Set<EndpointId> rebuilt) {
    return new Session(
        id,
        arrival,
        sessions,
        epoch,
        chain,
        SessionPhase.PARKED,
        confirmed,
        fresh.addAll(rebuilt),
        retired,
        inputSent,
        progress);
  }

  /** Returns this session after a stage confirmed the epoch at its next position. */
  Session confirm(int stageIndex, int nextPosition) {
    return new Session(
        id,
        arrival,
        sessions,
        epoch,
        chain,
        phase,
        confirmed.put(stageIndex, nextPosition),
        fresh,
        retired,
        inputSent,
        progress);
  }

  /** Returns this session in a phase that waits for the token of an input that was sent. */
  Session running(SessionPhase running) {
    return new Session(
        id, arrival, sessions, epoch, chain, running, confirmed, fresh, retired, true, progress);
  }

  /** Returns the position whose token comes next. */
  int position() {
    return progress.nextPosition();
  }

  /** Tells whether every stage confirmed the epoch. */
  boolean allConfirmed() {
    return confirmed.size() == chain.size();
  }

  /** Returns the index of an endpoint in the chain. */
  Option<Integer> indexOf(EndpointId endpoint) {
    int index = chain.indexWhere(stage -> stage.endpoint().equals(endpoint));
    return Option.when(index >= 0, index);
  }

  /** Tells whether an endpoint of the chain has the given index. */
  boolean isStage(int index, EndpointId endpoint) {
    return index >= 0 && index < chain.length() && chain.get(index).endpoint().equals(endpoint);
  }

  /** Returns the indexes of the stages that did not confirm the epoch. */
  Set<Integer> unconfirmed() {
    return Vector.range(0, chain.length()).reject(confirmed::containsKey).toSet();
  }

  /** Returns the first stage that had not run the awaited position when it confirmed the epoch. */
  int firstBehind() {
    for (int index = 0; index < chain.length(); index++) {
      if (confirmed.getOrElse(index, 0) <= position()) {
        return index;
      }
    }
    return chain.length() - 1;
  }
}
