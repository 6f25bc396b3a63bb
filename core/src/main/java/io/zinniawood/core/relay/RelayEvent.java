package io.zinniawood.core.relay;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.route.RouteTable;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Input of the relay's reducer. An event dispatches itself through a {@link Visitor}. */
public sealed interface RelayEvent {
  /** Calls the visitor's method for this event. */
  void accept(Visitor visitor);

  /** A version of the routing table was read. */
  record RoutesRead(RouteTable routes) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.routesRead(this);
    }
  }

  /** The whole list of endpoints was read. */
  record EndpointsListed(List<FleetEndpoint> endpoints) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsListed(this);
    }
  }

  /** Some entries of the list of endpoints have changed. */
  record EndpointsChanged(List<FleetEndpoint> changed, List<EndpointId> removed)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsChanged(this);
    }
  }

  /** The platform's store stopped answering. */
  record StoreLost() implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.storeLost(this);
    }
  }

  /** The platform's store answers again. */
  record StoreRegained() implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.storeRegained(this);
    }
  }

  /** A caller's request is complete. */
  record RequestArrived(RelayRequestId id, CallerRequest request) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.requestArrived(this);
    }
  }

  /** The caller closed its connection. */
  record CallerDisconnected(RelayRequestId id) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.callerDisconnected(this);
    }
  }

  /** An endpoint answered: the head of a stream, or a whole answer of another kind. */
  record AnswerReceived(RelayRequestId id, int attempt, AnswerSummary answer)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.answerReceived(this);
    }
  }

  /** An attempt ended without a whole answer. */
  record AttemptFailed(RelayRequestId id, int attempt, AttemptFailureCause cause, long lastEventId)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.attemptFailed(this);
    }
  }

  /** An event of a stream was passed on. */
  record StreamAdvanced(RelayRequestId id, int attempt) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.streamAdvanced(this);
    }
  }

  /** The whole answer of an endpoint was passed on. */
  record AnswerRelayed(RelayRequestId id, int attempt) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.answerRelayed(this);
    }
  }

  /** An order to hold layers was answered or given up. */
  record OrderAnswered(EndpointId endpoint, OrderResult result) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.orderAnswered(this);
    }
  }

  /** An endpoint gave its report: it lives. */
  record ReportRead(EndpointId endpoint, EndpointReport report) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.reportRead(this);
    }
  }

  /** An endpoint gave no report in time, even on a new connection. */
  record ReportMissing(EndpointId endpoint) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.reportMissing(this);
    }
  }

  /** A change of a request's path was answered or given up. */
  record RepathAnswered(
      RelayRequestId id, int attempt, OrderResult result, Optional<NodeAddress> endpointAtFault)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.repathAnswered(this);
    }
  }

  /** The row of the controller lease was read, or a write to it was answered. */
  record LeaseRead(Option<LeaseRow> row, long version) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.leaseRead(this);
    }
  }

  /** The rows with which relays show their presence were read. */
  record PresencesRead(Map<VmId, Long> versions) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.presencesRead(this);
    }
  }

  /** Time has passed; comes every few tens of milliseconds. */
  record Tick() implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.tick(this);
    }
  }

  /** The process was asked to terminate. */
  record TerminationRequested() implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.terminationRequested(this);
    }
  }

  /** One method for each event. */
  interface Visitor {
    /** Handles {@link RoutesRead}. */
    void routesRead(RoutesRead event);

    /** Handles {@link EndpointsListed}. */
    void endpointsListed(EndpointsListed event);

    /** Handles {@link EndpointsChanged}. */
    void endpointsChanged(EndpointsChanged event);

    /** Handles {@link StoreLost}. */
    void storeLost(StoreLost event);

    /** Handles {@link StoreRegained}. */
    void storeRegained(StoreRegained event);

    /** Handles {@link RequestArrived}. */
    void requestArrived(RequestArrived event);

    /** Handles {@link CallerDisconnected}. */
    void callerDisconnected(CallerDisconnected event);

    /** Handles {@link AnswerReceived}. */
    void answerReceived(AnswerReceived event);

    /** Handles {@link AttemptFailed}. */
    void attemptFailed(AttemptFailed event);

    /** Handles {@link StreamAdvanced}. */
    void streamAdvanced(StreamAdvanced event);

    /** Handles {@link AnswerRelayed}. */
    void answerRelayed(AnswerRelayed event);

    /** Handles {@link OrderAnswered}. */
    void orderAnswered(OrderAnswered event);

    /** Handles {@link ReportRead}. */
    void reportRead(ReportRead event);

    /** Handles {@link ReportMissing}. */
    void reportMissing(ReportMissing event);

    /** Handles {@link RepathAnswered}. */
    void repathAnswered(RepathAnswered event);

    /** Handles {@link LeaseRead}. */
    void leaseRead(LeaseRead event);

    /** Handles {@link PresencesRead}. */
    void presencesRead(PresencesRead event);

    /** Handles {@link Tick}. */
    void tick(Tick event);

    /** Handles {@link TerminationRequested}. */
    void terminationRequested(TerminationRequested event);
  }
}
