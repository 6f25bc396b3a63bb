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

/** Input of the relay's reducer, handled by a {@link Visitor}. */
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

  /** The complete endpoint list was read. */
  record EndpointsListed(List<FleetEndpoint> endpoints) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsListed(this);
    }
  }

  /** Entries of the endpoint list were added, changed or removed. */
  record EndpointsChanged(List<FleetEndpoint> changed, List<EndpointId> removed)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsChanged(this);
    }
  }

  /** The platform's store stopped responding. */
  record StoreLost() implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.storeLost(this);
    }
  }

  /** The platform's store responds again. */
  record StoreRegained() implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.storeRegained(this);
    }
  }

  /** A request was received completely from a caller. */
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

  /** An endpoint sent the head of a stream, or a complete answer if it is not a stream. */
  record AnswerReceived(RelayRequestId id, int attempt, AnswerSummary answer)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.answerReceived(this);
    }
  }

  /** An attempt ended without a complete answer. */
  record AttemptFailed(RelayRequestId id, int attempt, AttemptFailureCause cause, long lastEventId)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.attemptFailed(this);
    }
  }

  /**
   * One or more events of a stream were relayed to the caller.
   *
   * @param lastEventId id of the last event that was relayed completely
   */
  record StreamAdvanced(RelayRequestId id, int attempt, long lastEventId) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.streamAdvanced(this);
    }
  }

  /** The complete answer of an endpoint was relayed to the caller. */
  record AnswerRelayed(RelayRequestId id, int attempt) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.answerRelayed(this);
    }
  }

  /** A placement order was answered or abandoned. */
  record OrderAnswered(EndpointId endpoint, OrderResult result) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.orderAnswered(this);
    }
  }

  /** The report of an endpoint was read, so the endpoint is alive. */
  record ReportRead(EndpointId endpoint, EndpointReport report) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.reportRead(this);
    }
  }

  /** An endpoint returned no report in time, not even on a new connection. */
  record ReportMissing(EndpointId endpoint) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.reportMissing(this);
    }
  }

  /** A path change of a request was answered or abandoned. */
  record RepathAnswered(
      RelayRequestId id, int attempt, OrderResult result, Optional<NodeAddress> endpointAtFault)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.repathAnswered(this);
    }
  }

  /** The controller lease row was read, or a write to it was answered. */
  record LeaseRead(Option<LeaseRow> row, long version) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.leaseRead(this);
    }
  }

  /** The versions of the relays' presence rows were read. */
  record PresencesRead(Map<VmId, Long> versions) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.presencesRead(this);
    }
  }

  /** Timer event, posted every few tens of milliseconds. */
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

  /** Handler with one method for each event type. */
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
