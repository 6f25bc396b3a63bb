package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.runtime.Step;

/** Announces the serving state, capability and load. */
final class Statuses {
  static final long INTERVAL_NANOS = 1_000_000_000;

  /** A busy endpoint may miss one status request; two more take 2 s. */
  private static final int MAX_MISSED = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private Statuses() {}

  /** Returns the most concurrent sessions of an engine or calls of a plain service. */
  static int limit(AgentState state) {
    return state
        .capability()
        .map(
            capability ->
                capability instanceof Capability.ModelStage stage
                    ? stage.maxSessions()
                    : state.self().maxConcurrentCalls())
        .getOrElse(state.self().maxConcurrentCalls());
  }

  static LoadReport load(AgentState state) {
    GateState gate = state.gate();
    StageState stages = state.stages();
    return new LoadReport(
        gate.running() + stages.sessions().size(),
        gate.queue().size() + stages.readySessions().size(),
        limit(state),
        stages.tokensPerSecond());
  }

  private static Option<Message> message(AgentState state) {
    return state
        .capability()
        .map(capability -> new Message.Status(state.serving(), capability, load(state)));
  }

  static Step<AgentState, AgentEffect> connected(AgentState state, PeerId peer, PeerRole role) {
    AgentState next = state.withPeers(state.peers().put(peer, role));
    if (role == PeerRole.AGENT) {
      return StageConnections.connected(next, peer);
    }
    Step<AgentState, AgentEffect> step =
        Step.<AgentState, AgentEffect>of(next)
            .andAll(message(next).map(status -> new AgentEffect.Send(peer, status)));
    return Change.then(step, now -> StageSessionLifecycle.removeSessionsOfEarlierRun(now, peer))
        .andAll(
            next.stages()
                .sessions()
                .values()
                .filter(session -> session.opener().equals(peer) && session.isLastStage())
                .flatMap(
                    session ->
                        session.shouldForward(session.firstUnfinished() - 1)
                            ? StageFrames.outputMessage(session, session.firstUnfinished() - 1)
                            : Option.none()));
  }

  static Step<AgentState, AgentEffect> disconnected(AgentState state, long nowNanos, PeerId peer) {
    AgentState next = state.withPeers(state.peers().remove(peer));
    return state.peers().get(peer).contains(PeerRole.ENTRY)
        ? Step.of(next)
        : StageConnections.disconnected(next, nowNanos, peer);
  }

  /** Sends the status to all peers. */
  static Step<AgentState, AgentEffect> announce(AgentState state) {
    Option<Message> status = message(state);
    AgentState next = state.withAnnouncedLoad(load(state));
    if (status.isEmpty()) {
      return Step.of(next);
    }
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            state
                .peers()
                .keySet()
                .toVector()
                .map(peer -> new AgentEffect.Send(peer, status.get())));
  }

  static Step<AgentState, AgentEffect> tick(AgentState state, long nowNanos) {
    StageState stages = state.stages();
    double rate = stages.stepsDone() * NANOS_PER_SECOND / INTERVAL_NANOS;
    AgentState next =
        state.withStages(
            stages
                .withThroughput(0, rate)
                .withEarlyFrames(stages.earlyFrames().withoutExpired(nowNanos)));
    Step<AgentState, AgentEffect> step =
        Step.of(
            next,
            new AgentEffect.ReadEngineStatus(),
            new AgentEffect.StartTimer(new AgentTimer.StatusTick(), INTERVAL_NANOS));
    step = Change.then(step, Orders::relearn);
    return load(next).equals(next.announcedLoad()) ? step : Change.then(step, Statuses::announce);
  }

  /** The engine reported; sessions of another layer range or model lost their state. */
  static Step<AgentState, AgentEffect> read(AgentState state, Capability capability) {
    boolean same =
        state.capability().contains(capability) && state.serving() != ServingState.STARTING;
    AgentState answered = state.withMissedStatuses(0);
    if (same) {
      return Step.of(answered);
    }
    Step<AgentState, AgentEffect> step = Step.of(answered);
    if (state.capability().exists(before -> !sameHolding(before, capability))) {
      for (StageSession session : state.stages().sessions().values()) {
        step =
            Change.then(
                step,
                next ->
                    StageSessionLifecycle.fail(
                        next,
                        session,
                        RefusalReason.NOT_SERVED,
                        "the engine holds other layers now"));
      }
    }
    AgentState next = step.state().withCapability(capability);
    AgentState serving = next.leaving() ? next : next.withServing(ServingState.SERVING);
    return Change.then(new Step<>(serving, step.effects()), Statuses::announce);
  }

  private static boolean sameHolding(Capability before, Capability after) {
    if (before instanceof Capability.ModelStage old && after instanceof Capability.ModelStage now) {
      return old.model().equals(now.model()) && old.layers().equals(now.layers());
    }
    return before.getClass().equals(after.getClass());
  }

  /** The engine does not answer: takes no new work until it reports again. */
  static Step<AgentState, AgentEffect> unavailable(AgentState state) {
    AgentState missed = state.withMissedStatuses(state.missedStatuses() + 1);
    if (state.serving() != ServingState.SERVING || missed.missedStatuses() < MAX_MISSED) {
      return Step.of(missed);
    }
    return Change.then(
        Step.of(
            missed.withServing(ServingState.STARTING),
            Change.log(NoticeKind.STATE, state.self().endpoint(), "the engine does not answer")),
        Statuses::announce);
  }
}
