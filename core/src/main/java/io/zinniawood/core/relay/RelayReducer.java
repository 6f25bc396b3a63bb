package io.zinniawood.core.relay;

import io.vavr.collection.Vector;
import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;
import java.util.Optional;
import java.util.function.Consumer;

/** Reducer of the relay: passes each event to the class that handles it. */
public final class RelayReducer implements Reducer<RelayState, RelayEvent, RelayEffect> {
  @Override
  public Step<RelayState, RelayEffect> reduce(RelayState state, long nowNanos, RelayEvent event) {
    RelayTurn turn = new RelayTurn(state, nowNanos);
    FailureContainment.run(
        turn,
        event.getClass().getSimpleName(),
        event.concerns(),
        () -> event.accept(new EventHandler(turn)));
    return new Step<>(state, Vector.ofAll(turn.effects()));
  }

  private record EventHandler(RelayTurn turn) implements RelayEvent.Visitor {
    @Override
    public void routesAnswered(RelayEvent.RoutesAnswered event) {
      StoreReads.routesAnswered(turn, event);
    }

    @Override
    public void routesReadFailed(RelayEvent.RoutesReadFailed event) {
      StoreReads.routesReadFailed(turn, event);
    }

    @Override
    public void endpointsListed(RelayEvent.EndpointsListed event) {
      StoreReads.endpointsListed(turn, event);
      Lifecycle.updateReadiness(turn);
    }

    @Override
    public void endpointsChanged(RelayEvent.EndpointsChanged event) {
      StoreReads.endpointsChanged(turn, event);
    }

    @Override
    public void endpointsReadFailed(RelayEvent.EndpointsReadFailed event) {
      StoreReads.endpointsReadFailed(turn, event);
    }

    @Override
    public void peerMessageReceived(RelayEvent.PeerMessageReceived event) {
      PeerExchange.messageReceived(turn, event);
    }

    @Override
    public void requestArrived(RelayEvent.RequestArrived event) {
      FailureContainment.run(
          turn,
          event.getClass().getSimpleName(),
          event.concerns(),
          () -> RequestAdmission.requestArrived(turn, event));
      FailureContainment.refuseIfUndecided(turn, event.id());
    }

    @Override
    public void callerDisconnected(RelayEvent.CallerDisconnected event) {
      AttemptOutcomes.callerDisconnected(turn, event);
    }

    @Override
    public void endpointStated(RelayEvent.EndpointStated event) {
      EndpointStatements.stated(turn, event);
    }

    @Override
    public void answerReceived(RelayEvent.AnswerReceived event) {
      EndpointPauses.answerReceived(turn, event);
      LimitExchange.answerReceived(turn, event);
      AttemptOutcomes.answerReceived(turn, event);
    }

    @Override
    public void answerEnded(RelayEvent.AnswerEnded event) {
      AnswerConfirmation.answerEnded(turn, event);
    }

    @Override
    public void endpointHeard(RelayEvent.EndpointHeard event) {
      AnswerConfirmation.endpointHeard(turn, event);
    }

    @Override
    public void attemptFailed(RelayEvent.AttemptFailed event) {
      AttemptOutcomes.attemptFailed(turn, event);
    }

    @Override
    public void streamAdvanced(RelayEvent.StreamAdvanced event) {
      StreamMonitor.streamAdvanced(turn, event);
    }

    @Override
    public void answerRelayed(RelayEvent.AnswerRelayed event) {
      AttemptOutcomes.answerRelayed(turn, event);
    }

    @Override
    public void orderAnswered(RelayEvent.OrderAnswered event) {
      PlacementOrders.orderAnswered(turn, event);
    }

    @Override
    public void reportRead(RelayEvent.ReportRead event) {
      EndpointHealthChecks.reportRead(turn, event);
    }

    @Override
    public void reportRefused(RelayEvent.ReportRefused event) {
      EndpointHealthChecks.reportRefused(turn, event);
    }

    @Override
    public void reportMissing(RelayEvent.ReportMissing event) {
      EndpointHealthChecks.reportMissing(turn, event);
    }

    @Override
    public void repathAnswered(RelayEvent.RepathAnswered event) {
      PathRepair.repathAnswered(turn, event);
    }

    @Override
    public void leaseRead(RelayEvent.LeaseRead event) {
      ControllerLease.leaseRead(turn, event);
    }

    @Override
    public void presencesRead(RelayEvent.PresencesRead event) {
      RelayState state = turn.state;
      if (event.rows().values().stream()
          .anyMatch(row -> !row.version().era().equals(state.storeEra))) {
        return;
      }
      state.peers.rowsRead(event.rows(), state.parameters.vm(), turn.nowNanos);
      state.firstConfiguration.presencesRead(turn.nowNanos);
    }

    @Override
    public void tick(RelayEvent.Tick event) {
      turn.state.fleet.removeExpired(turn.nowNanos);
      part("processor-guard", ProcessorShortage::tick);
      part("store-reads", StoreReads::tick);
      part("peers", PeerExchange::tick);
      part("limits", LimitExchange::tick);
      part("health-checks", EndpointHealthChecks::tick);
      part("crash-watch", CrashWatch::tick);
      part("deadlines", Deadlines::check);
      part("grace-period", GracePeriod::tick);
      part("stream-monitor", StreamMonitor::checkStalledStreams);
      part("overflow", OverflowShares::tick);
      part("waiting-queue", WaitingQueue::dispatchWaiting);
      part("lease", ControllerLease::tick);
      part("placement", PlacementOrders::tick);
      part("lifecycle", Lifecycle::tick);
      part("first-configuration", turn.state.firstConfiguration::tick);
    }

    /** Runs a part of the tick; its failure must not keep the others from running. */
    private void part(String name, Consumer<RelayTurn> part) {
      FailureContainment.run(turn, name, Optional.empty(), () -> part.accept(turn));
    }

    @Override
    public void terminationRequested(RelayEvent.TerminationRequested event) {
      Lifecycle.terminationRequested(turn);
    }
  }
}
