package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.runtime.Step;

/**
 * Tracks the serving state, capability and load of the endpoint and announces them to all peers.
 */
final class AgentStatus {
  static final long STATUS_INTERVAL_NANOS = 1_000_000_000;

  /** A busy endpoint may miss one status request; waiting for two more takes 2 s. */
  private static final int MAX_MISSED_STATUSES = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private AgentStatus() {}

  /** Returns the maximum number of concurrent sessions (engine) or calls (plain service). */
  static int concurrencyLimit(AgentState state) {
    return state
        .capability()
        .map(
            capability ->
                capability instanceof Capability.ModelStage stage
                    ? stage.maxSessions()
                    : state.properties().maxConcurrentCalls())
        .getOrElse(state.properties().maxConcurrentCalls());
  }

  static LoadReport currentLoad(AgentState state) {
    CallState calls = state.calls();
    StageState stages = state.stages();
    return new LoadReport(
        calls.runningCalls() + stages.sessions().size(),
        calls.queue().size() + stages.readySessions().size(),
        concurrencyLimit(state),
        stages.tokensPerSecond());
  }

  private static Option<Message> statusMessage(AgentState state) {
    return state
        .capability()
        .map(capability -> new Message.Status(state.serving(), capability, currentLoad(state)));
  }

  static Step<AgentState, AgentEffect> peerConnected(AgentState state, PeerId peer, PeerRole role) {
    AgentState next = state.withPeers(state.peers().put(peer, role));
    if (role == PeerRole.AGENT) {
      return StageConnections.connected(next, peer);
    }
    Step<AgentState, AgentEffect> step =
        Step.<AgentState, AgentEffect>of(next)
            .andAll(statusMessage(next).map(status -> new AgentEffect.Send(peer, status)));
    return ReducerSteps.then(
            step, latest -> StageSessionLifecycle.removeSessionsOfEarlierRun(latest, peer))
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

  static Step<AgentState, AgentEffect> peerDisconnected(
      AgentState state, long nowNanos, PeerId peer) {
    AgentState next = state.withPeers(state.peers().remove(peer));
    return state.peers().get(peer).contains(PeerRole.ENTRY)
        ? Step.of(next)
        : StageConnections.disconnected(next, nowNanos, peer);
  }

  /** Sends the status to all peers. */
  static Step<AgentState, AgentEffect> announce(AgentState state) {
    Option<Message> status = statusMessage(state);
    AgentState next = state.withAnnouncedLoad(currentLoad(state));
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
    double rate = stages.stepsDone() * NANOS_PER_SECOND / STATUS_INTERVAL_NANOS;
    AgentState next =
        state.withStages(
            stages
                .withThroughput(0, rate)
                .withEarlyFrames(stages.earlyFrames().withoutExpired(nowNanos)));
    Step<AgentState, AgentEffect> step =
        Step.of(
            next,
            new AgentEffect.ReadEngineStatus(),
            new AgentEffect.StartTimer(new AgentTimer.StatusTick(), STATUS_INTERVAL_NANOS));
    step = ReducerSteps.then(step, Orders::readFencingNumber);
    return currentLoad(next).equals(next.announcedLoad())
        ? step
        : ReducerSteps.then(step, AgentStatus::announce);
  }

  /** Handles a status report; fails all sessions if the model or the layer range changed. */
  static Step<AgentState, AgentEffect> engineStatusRead(AgentState state, Capability capability) {
    boolean unchanged =
        state.capability().contains(capability) && state.serving() != ServingState.STARTING;
    AgentState answered = state.withMissedStatuses(0);
    if (unchanged) {
      return Step.of(answered);
    }
    Step<AgentState, AgentEffect> step = Step.of(answered);
    if (state.capability().exists(before -> !servesSameLayers(before, capability))) {
      for (StageSession session : state.stages().sessions().values()) {
        step =
            ReducerSteps.then(
                step,
                next ->
                    StageSessionLifecycle.fail(
                        next,
                        session,
                        RefusalReason.NOT_SERVED,
                        "the engine now serves another model or layer range"));
      }
    }
    AgentState next = step.state().withCapability(capability);
    AgentState serving = next.leaving() ? next : next.withServing(ServingState.SERVING);
    return ReducerSteps.then(new Step<>(serving, step.effects()), AgentStatus::announce);
  }

  private static boolean servesSameLayers(Capability before, Capability after) {
    if (before instanceof Capability.ModelStage oldStage
        && after instanceof Capability.ModelStage newStage) {
      return oldStage.model().equals(newStage.model())
          && oldStage.layers().equals(newStage.layers());
    }
    return before.getClass().equals(after.getClass());
  }

  /** Handles a missed status report; after several, accepts no new work until the next report. */
  static Step<AgentState, AgentEffect> engineUnavailable(AgentState state) {
    AgentState missed = state.withMissedStatuses(state.missedStatuses() + 1);
    if (state.serving() != ServingState.SERVING || missed.missedStatuses() < MAX_MISSED_STATUSES) {
      return Step.of(missed);
    }
    return ReducerSteps.then(
        Step.of(
            missed.withServing(ServingState.STARTING),
            ReducerSteps.log(
                NoticeKind.STATE,
                state.properties().endpoint(),
                "the engine did not answer " + MAX_MISSED_STATUSES + " status requests in a row")),
        AgentStatus::announce);
  }
}
