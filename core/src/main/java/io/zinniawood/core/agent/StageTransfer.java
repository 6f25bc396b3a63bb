package io.zinniawood.core.agent;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.StageSession.Transfer;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.runtime.Step;

/** Moves the KV cache of a session from an old stage to its replacement. */
final class StageTransfer {
  /** Leaves time for a replay within the recovery target of 1.3 s. */
  private static final long IMPORT_NANOS = 400_000_000;

  /** A frame holds at most 8 MiB; the rest is for kept outputs and the envelope. */
  private static final int MAX_CACHE_BYTES = 6 << 20;

  private static final int MAX_KEPT_BYTES = 1 << 20;

  private StageTransfer() {}

  static Step<AgentState, AgentEffect> request(
      AgentState state, long nowNanos, PeerId peer, Message.OpenSession open) {
    StageSession session = StageSession.opened(peer, open, nowNanos, new Transfer.Requested());
    return ask(state.withStages(state.stages().withSession(session)), open);
  }

  private static Step<AgentState, AgentEffect> ask(AgentState state, Message.OpenSession open) {
    return Step.of(
        state,
        new AgentEffect.SendToAddress(
            open.importFrom().get(), new Message.CacheRequest(open.session())),
        new AgentEffect.StartTimer(
            new AgentTimer.ImportDeadline(open.session(), open.epoch()), IMPORT_NANOS));
  }

  /** A new epoch opens while the import is in progress; a cache that is loading stays valid. */
  static Step<AgentState, AgentEffect> restart(
      AgentState state, long nowNanos, StageSession session) {
    if (session.transfer() instanceof Transfer.Loading) {
      return Step.of(state);
    }
    return session.open().importFrom().isDefined()
        ? ask(state, session.open())
        : fallBack(state, nowNanos, session);
  }

  /** Opens the session without a cache; the entry has the positions sent again. */
  private static Step<AgentState, AgentEffect> fallBack(
      AgentState state, long nowNanos, StageSession session) {
    StageSession empty = session.withTransfer(StageSession.NO_TRANSFER);
    return StageSessions.opened(
        state.withStages(state.stages().withSession(empty)), nowNanos, session.id());
  }

  static Step<AgentState, AgentEffect> deadline(
      AgentState state, long nowNanos, SessionId id, Epoch epoch) {
    return state
        .stages()
        .sessions()
        .get(id)
        .filter(session -> session.transfer() instanceof Transfer.Requested)
        .filter(session -> session.epoch().equals(epoch))
        .map(session -> fallBack(state, nowNanos, session))
        .getOrElse(() -> Step.of(state));
  }

  static Step<AgentState, AgentEffect> snapshot(
      AgentState state, long nowNanos, Message.CacheSnapshot snapshot) {
    Option<StageSession> waiting =
        state
            .stages()
            .sessions()
            .get(snapshot.session())
            .filter(session -> session.transfer() instanceof Transfer.Requested);
    if (waiting.isEmpty()) {
      return Step.of(state);
    }
    StageSession session = waiting.get();
    int next = snapshot.nextPosition();
    boolean usable =
        next > 0
            && next <= session.open().rebuildPositions() + 1
            && snapshot.keptOutputs().size() <= next;
    if (snapshot.cache().isEmpty() || !usable) {
      return fallBack(state, nowNanos, session);
    }
    KeptOutputs kept = KeptOutputs.below(next, snapshot.keptOutputs());
    StageSession loading = session.withTransfer(new Transfer.Loading(kept, next));
    return Step.of(
        state.withStages(state.stages().withSession(loading)),
        new AgentEffect.ImportCache(session.id(), session.epoch(), next, snapshot.cache().get()));
  }

  static Step<AgentState, AgentEffect> imported(
      AgentState state, long nowNanos, SessionId id, StoreWriteResult result) {
    Option<StageSession> present = state.stages().sessions().get(id);
    if (present.isEmpty() || !(present.get().transfer() instanceof Transfer.Loading loading)) {
      return Step.of(state);
    }
    if (result == StoreWriteResult.FAILED) {
      return ReducerSteps.then(
          Step.of(state, new AgentEffect.CloseEngineSession(id)),
          next -> fallBack(next, nowNanos, present.get()));
    }
    StageSession session = present.get().imported(loading.kept(), loading.nextPosition());
    StageState stages = state.stages().withSession(session);
    AgentState next =
        StageEngine.withinBound(
            state.withStages(stages.withKeptBytes(stages.keptBytes() + loading.kept().bytes())));
    return ReducerSteps.then(
        StageSessions.opened(next, nowNanos, id),
        now -> {
          StageSession opened = now.stages().sessions().get(id).get();
          return StageFrames.sendAgain(now, opened, opened.resend());
        });
  }

  /** Another agent asks for the cache of a session. */
  static Step<AgentState, AgentEffect> requested(
      AgentState state, PeerId peer, Message.CacheRequest request) {
    Option<StageSession> session =
        state.stages().sessions().get(request.session()).filter(present -> !present.transferring());
    if (session.isEmpty() || state.peers().get(peer).contains(PeerRole.ENTRY)) {
      return Step.of(state, answer(peer, request.session(), 0, Option.none(), Vector.empty()));
    }
    Set<PeerId> askers =
        state.stages().exports().getOrElse(request.session(), HashSet.empty()).add(peer);
    AgentState next =
        state.withStages(
            state.stages().withExports(state.stages().exports().put(request.session(), askers)));
    return session.get().running() > 0
        ? Step.of(next)
        : Step.of(next, new AgentEffect.ExportCache(request.session()));
  }

  /** Exports caches whose session was in the batch when they were asked for. */
  static Step<AgentState, AgentEffect> exportReady(AgentState state) {
    if (state.stages().exports().isEmpty()) {
      return Step.of(state);
    }
    Vector<AgentEffect> exports =
        state
            .stages()
            .exports()
            .keySet()
            .toVector()
            .filter(id -> state.stages().sessions().get(id).exists(s -> s.running() == 0))
            .map(AgentEffect.ExportCache::new);
    return new Step<>(state, exports);
  }

  /** The cache is sent only if it covers exactly the finished positions. */
  static Step<AgentState, AgentEffect> exported(
      AgentState state, SessionId id, Option<Payload> cache, int nextPosition) {
    StageState stages = state.stages();
    Option<Tuple2<SessionId, Set<PeerId>>> export =
        stages.exports().find(entry -> entry._1.equals(id));
    if (export.isEmpty()) {
      return Step.of(state);
    }
    Option<StageSession> session =
        stages
            .sessions()
            .get(id)
            .filter(s -> s.running() == 0 && s.done() == nextPosition && s.done() > 0);
    Option<Payload> usable =
        cache.filter(bytes -> session.isDefined() && bytes.sizeBytes() <= MAX_CACHE_BYTES);
    Vector<Payload> kept =
        usable.isDefined() ? suffix(session.get().kept().outputs()) : Vector.empty();
    AgentState next = state.withStages(stages.withExports(stages.exports().remove(id)));
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            export
                .get()
                ._2
                .toVector()
                .map(
                    peer -> answer(peer, id, usable.isDefined() ? nextPosition : 0, usable, kept)));
  }

  private static Vector<Payload> suffix(Vector<Payload> outputs) {
    int bytes = 0;
    int from = outputs.size();
    while (from > 0 && bytes + outputs.get(from - 1).sizeBytes() <= MAX_KEPT_BYTES) {
      from--;
      bytes += outputs.get(from).sizeBytes();
    }
    return outputs.drop(from);
  }

  private static AgentEffect answer(
      PeerId peer, SessionId id, int nextPosition, Option<Payload> cache, Vector<Payload> kept) {
    return new AgentEffect.Send(peer, new Message.CacheSnapshot(id, nextPosition, cache, kept));
  }
}
