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
 * @param arrival event with which the request arrived
 * @param sessionsUsed number of sessions that the request used, this one included
 * @param epoch epoch of the chain
 * @param chain stages in order of their layers
 * @param phase phase of this epoch
 * @param confirmedPositions next position of each stage that confirmed this epoch, by stage index
 * @param endpointsToRebuild endpoints of stages that are new in this epoch and must be rebuilt
 * @param retired stages of earlier epochs that still hold the session, as their KV cache may be
 *     imported
 * @param inputSent whether any input was ever sent, so that a stage may have run
 * @param progress delivered tokens
 */
record Session(
    SessionId id,
    EntryEvent.ModelRequestArrived arrival,
    int sessionsUsed,
    Epoch epoch,
    Vector<StageAddress> chain,
    SessionPhase phase,
    Map<Integer, Integer> confirmedPositions,
    Set<EndpointId> endpointsToRebuild,
    Vector<StageAddress> retired,
    boolean inputSent,
    DeliveryProgress progress) {

  /** Returns a new session in its first epoch. */
  static Session create(
      SessionId id,
      EntryEvent.ModelRequestArrived arrival,
      int sessionsUsed,
      Vector<StageAddress> chain,
      DeliveryProgress progress) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
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
  Session withFirstChain(Vector<StageAddress> firstChain) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        firstChain,
        SessionPhase.OPENING,
        confirmedPositions,
        endpointsToRebuild,
        retired,
        inputSent,
        progress);
  }

  /** Returns this session with a chain in the next epoch. */
  Session nextEpoch(
      Vector<StageAddress> nextChain,
      SessionPhase nextPhase,
      Set<EndpointId> nextEndpointsToRebuild) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        new Epoch(epoch.value() + 1),
        nextChain,
        nextPhase,
        HashMap.empty(),
        nextEndpointsToRebuild,
        retired,
        inputSent,
        progress);
  }

  Session withProgress(DeliveryProgress changed) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        chain,
        phase,
        confirmedPositions,
        endpointsToRebuild,
        retired,
        inputSent,
        changed);
  }

  Session withPhase(SessionPhase changed) {
    if (changed == phase) {
      return this;
    }
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        chain,
        changed,
        confirmedPositions,
        endpointsToRebuild,
        retired,
        inputSent,
        progress);
  }

  Session withRetired(Vector<StageAddress> changed) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        chain,
        phase,
        confirmedPositions,
        endpointsToRebuild,
        changed,
        inputSent,
        progress);
  }

  /** Returns this session waiting for a stage, with more endpoints that must be rebuilt. */
  Session waitingForStage(Set<EndpointId> moreToRebuild) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        chain,
        SessionPhase.WAITING_FOR_STAGE,
        confirmedPositions,
        endpointsToRebuild.addAll(moreToRebuild),
        retired,
        inputSent,
        progress);
  }

  /** Returns this session after a stage confirmed the epoch at its next position. */
  Session withConfirmed(int stageIndex, int nextPosition) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        chain,
        phase,
        confirmedPositions.put(stageIndex, nextPosition),
        endpointsToRebuild,
        retired,
        inputSent,
        progress);
  }

  /** Returns this session in the given phase, marked as having sent an input. */
  Session withInputSent(SessionPhase changed) {
    return new Session(
        id,
        arrival,
        sessionsUsed,
        epoch,
        chain,
        changed,
        confirmedPositions,
        endpointsToRebuild,
        retired,
        true,
        progress);
  }

  /** Returns the position of the next token. */
  int nextPosition() {
    return progress.nextPosition();
  }

  /** Tells whether every stage confirmed the epoch. */
  boolean allConfirmed() {
    return confirmedPositions.size() == chain.size();
  }

  /** Returns the index of an endpoint in the chain, none if it is not part of it. */
  Option<Integer> indexOf(EndpointId endpoint) {
    int index = chain.indexWhere(stage -> stage.endpoint().equals(endpoint));
    return Option.when(index >= 0, index);
  }

  /** Tells whether the stage with the given index is at the endpoint. */
  boolean isStage(int index, EndpointId endpoint) {
    return index >= 0 && index < chain.length() && chain.get(index).endpoint().equals(endpoint);
  }

  /** Returns the indexes of the stages that did not confirm the epoch. */
  Set<Integer> unconfirmedStages() {
    return Vector.range(0, chain.length()).reject(confirmedPositions::containsKey).toSet();
  }

  /**
   * Returns the index of the first stage that had not run the next position when it confirmed the
   * epoch, or of the last stage if all had.
   */
  int firstStageBehind() {
    for (int index = 0; index < chain.length(); index++) {
      if (confirmedPositions.getOrElse(index, 0) <= nextPosition()) {
        return index;
      }
    }
    return chain.length() - 1;
  }
}
