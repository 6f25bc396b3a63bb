package io.zinniawood.core.relay;

import io.vavr.collection.Vector;
import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;

/** Reducer of the relay: one line for each event; the work is done by the classes by concern. */
public final class RelayReducer implements Reducer<RelayState, RelayEvent, RelayEffect> {
  @Override
  public Step<RelayState, RelayEffect> reduce(RelayState state, long nowNanos, RelayEvent event) {
    RelayTurn turn = new RelayTurn(state, nowNanos);
    event.accept(new Dispatch(turn));
    return new Step<>(state, Vector.ofAll(turn.effects()));
  }

  private record Dispatch(RelayTurn turn) implements RelayEvent.Visitor {
    @Override
    public void routesRead(RelayEvent.RoutesRead event) {
      Lifecycle.routesRead(turn, event);
    }

    @Override
    public void endpointsListed(RelayEvent.EndpointsListed event) {
      Endpoints.listed(turn, event);
      Lifecycle.updateReadiness(turn);
    }

    @Override
    public void endpointsChanged(RelayEvent.EndpointsChanged event) {
      Endpoints.changed(turn, event);
    }

    @Override
    public void storeLost(RelayEvent.StoreLost event) {
      Endpoints.storeLost(turn);
    }

    @Override
    public void storeRegained(RelayEvent.StoreRegained event) {
      Endpoints.storeRegained(turn);
    }

    @Override
    public void requestArrived(RelayEvent.RequestArrived event) {
      Arrivals.arrived(turn, event);
    }

    @Override
    public void callerLeft(RelayEvent.CallerLeft event) {
      Outcomes.callerLeft(turn, event);
    }

    @Override
    public void answered(RelayEvent.Answered event) {
      Outcomes.answered(turn, event);
    }

    @Override
    public void attemptBroken(RelayEvent.AttemptBroken event) {
      Outcomes.broken(turn, event);
    }

    @Override
    public void streamAdvanced(RelayEvent.StreamAdvanced event) {
      Streams.advanced(turn, event);
    }

    @Override
    public void answerRelayed(RelayEvent.AnswerRelayed event) {
      Outcomes.relayed(turn, event);
    }

    @Override
    public void orderAnswered(RelayEvent.OrderAnswered event) {
      Placements.answered(turn, event);
    }

    @Override
    public void reportRead(RelayEvent.ReportRead event) {
      EndpointChecks.answered(turn, event);
    }

    @Override
    public void reportMissing(RelayEvent.ReportMissing event) {
      EndpointChecks.missed(turn, event);
    }

    @Override
    public void repathAnswered(RelayEvent.RepathAnswered event) {
      PathRepair.repathAnswered(turn, event);
    }

    @Override
    public void leaseRead(RelayEvent.LeaseRead event) {
      ControllerLease.read(turn, event);
    }

    @Override
    public void presencesRead(RelayEvent.PresencesRead event) {
      turn.state.relays.read(event.versions(), turn.nowNanos);
    }

    @Override
    public void tick(RelayEvent.Tick event) {
      turn.state.fleet.removeExpired(turn.nowNanos);
      EndpointChecks.tick(turn);
      Deadlines.check(turn);
      Streams.checkSilence(turn);
      Waiting.retry(turn);
      ControllerLease.tick(turn);
      Placements.tick(turn);
      Lifecycle.tick(turn);
    }

    @Override
    public void terminationAsked(RelayEvent.TerminationAsked event) {
      Lifecycle.terminationAsked(turn);
    }
  }
}
