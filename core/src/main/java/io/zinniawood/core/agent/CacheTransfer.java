package io.zinniawood.core.agent;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.StageSession.CacheImport;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.runtime.Step;

/** Transfers the KV cache of a session from an old stage to its replacement. */
final class CacheTransfer {
  /**
   * Time within which the old stage must answer. Leaves time for a replay within the recovery
   * target of 1.3 s.
   */
  private static final long IMPORT_TIMEOUT_NANOS = 400_000_000;

  /** A frame holds at most 8 MiB; the rest is for kept outputs and the envelope. */
  private static final int MAX_CACHE_BYTES = 6 << 20;

  private static final int MAX_KEPT_OUTPUT_BYTES = 1 << 20;

  private CacheTransfer() {}

  static Step<AgentState, AgentEffect> openWithImport(
      AgentState state, long nowNanos, PeerId peer, Message.OpenSession open) {
    StageSession session = StageSession.opened(peer, open, nowNanos, new CacheImport.Requested());
    return requestCache(state.withStages(state.stages().withSession(session)), open);
  }

  private static Step<AgentState, AgentEffect> requestCache(
      AgentState state, Message.OpenSession open) {
    return Step.of(
        state,
        new AgentEffect.SendToAddress(
            open.importFrom().get(), new Message.CacheRequest(open.session())),
        new AgentEffect.StartTimer(
            new AgentTimer.ImportDeadline(open.session(), open.epoch()), IMPORT_TIMEOUT_NANOS));
  }

  /** Handles a new epoch during an import. A cache that the engine imports stays valid. */
  static Step<AgentState, AgentEffect> reopenDuringImport(
      AgentState state, long nowNanos, StageSession session) {
    if (session.cacheImport() instanceof CacheImport.Loading) {
      return Step.of(state);
    }
    return session.openMessage().importFrom().isDefined()
        ? requestCache(state, session.openMessage())
        : openWithoutCache(state, nowNanos, session);
  }

  /** Opens the session without a cache; the entry then has the positions sent again. */
  private static Step<AgentState, AgentEffect> openWithoutCache(
      AgentState state, long nowNanos, StageSession session) {
    StageSession empty = session.withCacheImport(StageSession.NO_IMPORT);
    return StageSessionLifecycle.confirmOpened(
        state.withStages(state.stages().withSession(empty)), nowNanos, session.id());
  }

  static Step<AgentState, AgentEffect> handleImportDeadline(
      AgentState state, long nowNanos, SessionId id, Epoch epoch) {
    return state
        .stages()
        .sessions()
        .get(id)
        .filter(session -> session.cacheImport() instanceof CacheImport.Requested)
        .filter(session -> session.epoch().equals(epoch))
        .map(session -> openWithoutCache(state, nowNanos, session))
        .getOrElse(() -> Step.of(state));
  }

  static Step<AgentState, AgentEffect> receiveSnapshot(
      AgentState state, long nowNanos, Message.CacheSnapshot snapshot) {
    Option<StageSession> requesting =
        state
            .stages()
            .sessions()
            .get(snapshot.session())
            .filter(session -> session.cacheImport() instanceof CacheImport.Requested);
    if (requesting.isEmpty()) {
      return Step.of(state);
    }
    StageSession session = requesting.get();
    int next = snapshot.nextPosition();
    boolean usable =
        next > 0
            && next <= session.openMessage().rebuildPositions() + 1
            && snapshot.keptOutputs().size() <= next;
    if (snapshot.cache().isEmpty() || !usable) {
      return openWithoutCache(state, nowNanos, session);
    }
    KeptOutputs kept = KeptOutputs.endingBefore(next, snapshot.keptOutputs());
    StageSession loading = session.withCacheImport(new CacheImport.Loading(kept, next));
    return Step.of(
        state.withStages(state.stages().withSession(loading)),
        new AgentEffect.ImportCache(session.id(), session.epoch(), next, snapshot.cache().get()));
  }

  static Step<AgentState, AgentEffect> completeImport(
      AgentState state, long nowNanos, SessionId id, StoreWriteResult result) {
    Option<StageSession> present = state.stages().sessions().get(id);
    if (present.isEmpty()
        || !(present.get().cacheImport() instanceof CacheImport.Loading loading)) {
      return Step.of(state);
    }
    if (result == StoreWriteResult.FAILED) {
      return ReducerSteps.then(
          Step.of(state, new AgentEffect.CloseEngineSession(id)),
          next -> openWithoutCache(next, nowNanos, present.get()));
    }
    StageSession session = present.get().imported(loading.keptOutputs(), loading.nextPosition());
    StageState stages = state.stages().withSession(session);
    AgentState next =
        StageBatchScheduler.dropOutputsOverLimit(
            state.withStages(
                stages.withKeptBytes(stages.keptBytes() + loading.keptOutputs().bytes())));
    return ReducerSteps.then(
        StageSessionLifecycle.confirmOpened(next, nowNanos, id),
        now -> {
          StageSession opened = now.stages().sessions().get(id).get();
          return StageFrames.resendOutputs(now, opened, opened.replayRange());
        });
  }

  /**
   * Handles the request of another agent for the cache of a session. The export starts when the
   * engine runs no step of the session.
   */
  static Step<AgentState, AgentEffect> handleExportRequest(
      AgentState state, PeerId peer, Message.CacheRequest request) {
    Option<StageSession> session =
        state.stages().sessions().get(request.session()).filter(present -> !present.isImporting());
    if (session.isEmpty() || state.peers().get(peer).contains(PeerRole.ENTRY)) {
      return Step.of(
          state, snapshotMessage(peer, request.session(), 0, Option.none(), Vector.empty()));
    }
    Set<PeerId> requesters =
        state.stages().pendingExports().getOrElse(request.session(), HashSet.empty()).add(peer);
    AgentState next =
        state.withStages(
            state
                .stages()
                .withPendingExports(
                    state.stages().pendingExports().put(request.session(), requesters)));
    return session.get().runningSteps() > 0
        ? Step.of(next)
        : Step.of(next, new AgentEffect.ExportCache(request.session()));
  }

  /** Starts the pending exports of sessions of which the engine runs no step. */
  static Step<AgentState, AgentEffect> startPendingExports(AgentState state) {
    if (state.stages().pendingExports().isEmpty()) {
      return Step.of(state);
    }
    Vector<AgentEffect> exports =
        state
            .stages()
            .pendingExports()
            .keySet()
            .toVector()
            .filter(
                id ->
                    state
                        .stages()
                        .sessions()
                        .get(id)
                        .exists(candidate -> candidate.runningSteps() == 0))
            .map(AgentEffect.ExportCache::new);
    return new Step<>(state, exports);
  }

  /**
   * Answers the agents that wait for a cache. The cache is sent only if it covers exactly the
   * finished positions and is not too large.
   */
  static Step<AgentState, AgentEffect> sendExportedCache(
      AgentState state, SessionId id, Option<Payload> cache, int nextPosition) {
    StageState stages = state.stages();
    Option<Tuple2<SessionId, Set<PeerId>>> export =
        stages.pendingExports().find(entry -> entry._1.equals(id));
    if (export.isEmpty()) {
      return Step.of(state);
    }
    Option<StageSession> session =
        stages
            .sessions()
            .get(id)
            .filter(
                candidate ->
                    candidate.runningSteps() == 0
                        && candidate.firstUnfinished() == nextPosition
                        && candidate.firstUnfinished() > 0);
    Option<Payload> usable =
        cache.filter(bytes -> session.isDefined() && bytes.sizeBytes() <= MAX_CACHE_BYTES);
    Vector<Payload> kept =
        usable.isDefined() ? newestOutputs(session.get().keptOutputs().outputs()) : Vector.empty();
    AgentState next =
        state.withStages(stages.withPendingExports(stages.pendingExports().remove(id)));
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            export
                .get()
                ._2
                .toVector()
                .map(
                    peer ->
                        snapshotMessage(
                            peer, id, usable.isDefined() ? nextPosition : 0, usable, kept)));
  }

  private static Vector<Payload> newestOutputs(Vector<Payload> outputs) {
    int bytes = 0;
    int from = outputs.size();
    while (from > 0 && bytes + outputs.get(from - 1).sizeBytes() <= MAX_KEPT_OUTPUT_BYTES) {
      from--;
      bytes += outputs.get(from).sizeBytes();
    }
    return outputs.drop(from);
  }

  private static AgentEffect snapshotMessage(
      PeerId peer, SessionId id, int nextPosition, Option<Payload> cache, Vector<Payload> kept) {
    return new AgentEffect.Send(peer, new Message.CacheSnapshot(id, nextPosition, cache, kept));
  }
}
