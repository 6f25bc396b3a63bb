package io.zinniawood.core.relay;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.StoreVersion;
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

  /** Returns the request that the event concerns; empty if it concerns none or several. */
  default Optional<RelayRequestId> concerns() {
    return Optional.empty();
  }

  /**
   * The store answered a read of the routes.
   *
   * @param routes routing table, if a new one was read
   * @param storeVersion version of the store at the time of the answer
   */
  record RoutesAnswered(Optional<RouteTable> routes, StoreVersion storeVersion)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.routesAnswered(this);
    }
  }

  /** A read of the routes gave no rows. */
  record RoutesReadFailed(StoreReadFailure cause) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.routesReadFailed(this);
    }
  }

  /**
   * The complete endpoint list was read.
   *
   * @param version version of the store that the list shows
   * @param storeMillis time of the store's steady clock, in milliseconds
   */
  record EndpointsListed(List<FleetEndpoint> endpoints, StoreVersion version, long storeMillis)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsListed(this);
    }
  }

  /**
   * The store answered which entries of the endpoint list were added, changed or removed.
   *
   * @param afterVersion version of the store after which the changes begin
   * @param version version of the store up to which the changes are complete
   * @param storeMillis time of the store's steady clock, in milliseconds
   */
  record EndpointsChanged(
      List<FleetEndpoint> changed,
      List<RemovedEntry> removed,
      StoreVersion afterVersion,
      StoreVersion version,
      long storeMillis)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsChanged(this);
    }
  }

  /** A read of the endpoint list gave no rows. */
  record EndpointsReadFailed(StoreReadFailure cause) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointsReadFailed(this);
    }
  }

  /** A message of another relay was received. */
  record PeerMessageReceived(PeerMessage message, NodeAddress sender) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.peerMessageReceived(this);
    }
  }

  /**
   * A request was received completely from a caller.
   *
   * @param content content of the request, readable until the request ends
   */
  record RequestArrived(RelayRequestId id, CallerRequest request, RequestContent content)
      implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.requestArrived(this);
    }
  }

  /** The caller closed its connection. */
  record CallerDisconnected(RelayRequestId id) implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.callerDisconnected(this);
    }
  }

  /**
   * The head of an answer was received in which an endpoint says something about itself. The answer
   * may belong to no request that is open.
   *
   * @param endpoint start of the endpoint that was listed when the answered request was sent
   */
  record EndpointStated(EndpointIncarnation endpoint, EndpointStatement statement)
      implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.endpointStated(this);
    }
  }

  /** An endpoint sent the head of a stream, or a complete answer if it is not a stream. */
  record AnswerReceived(RelayRequestId id, int attempt, AnswerSummary answer)
      implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.answerReceived(this);
    }
  }

  /**
   * An answer without a length ended with its connection, in order. It is held back until {@link
   * RelayEffect.TakeAnswer}; only the end of a stream is, as its events go on at once.
   *
   * @param answer properties of the head
   */
  record AnswerEnded(RelayRequestId id, int attempt, AnswerSummary answer) implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.answerEnded(this);
    }
  }

  /** The endpoint of an attempt was asked for a sign of life after the end of its answer. */
  record EndpointHeard(RelayRequestId id, int attempt, EndpointSign sign) implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.endpointHeard(this);
    }
  }

  /** An attempt ended without a complete answer. */
  record AttemptFailed(RelayRequestId id, int attempt, AttemptFailureCause cause, long lastEventId)
      implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

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
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.streamAdvanced(this);
    }
  }

  /**
   * The complete answer of an endpoint was relayed to the caller.
   *
   * @param evidence how the answer was known to be complete
   */
  record AnswerRelayed(RelayRequestId id, int attempt, AnswerEvidence evidence)
      implements RelayEvent {
    @Override
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

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

  /** An endpoint answered the request for its report without giving one. */
  record ReportRefused(EndpointId endpoint) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.reportRefused(this);
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
    public Optional<RelayRequestId> concerns() {
      return Optional.of(id);
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.repathAnswered(this);
    }
  }

  /**
   * The controller lease row was read, or a write to it was answered.
   *
   * @param version version of the row; its number is 0 if the row does not exist
   */
  record LeaseRead(Option<LeaseRow> row, StoreVersion version) implements RelayEvent {
    @Override
    public void accept(Visitor visitor) {
      visitor.leaseRead(this);
    }
  }

  /** The relays' presence rows were read. */
  record PresencesRead(Map<VmId, PresenceRow> rows) implements RelayEvent {
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
    /** Handles {@link RoutesAnswered}. */
    void routesAnswered(RoutesAnswered event);

    /** Handles {@link RoutesReadFailed}. */
    void routesReadFailed(RoutesReadFailed event);

    /** Handles {@link EndpointsListed}. */
    void endpointsListed(EndpointsListed event);

    /** Handles {@link EndpointsChanged}. */
    void endpointsChanged(EndpointsChanged event);

    /** Handles {@link EndpointsReadFailed}. */
    void endpointsReadFailed(EndpointsReadFailed event);

    /** Handles {@link PeerMessageReceived}. */
    void peerMessageReceived(PeerMessageReceived event);

    /** Handles {@link RequestArrived}. */
    void requestArrived(RequestArrived event);

    /** Handles {@link CallerDisconnected}. */
    void callerDisconnected(CallerDisconnected event);

    /** Handles {@link EndpointStated}. */
    void endpointStated(EndpointStated event);

    /** Handles {@link AnswerReceived}. */
    void answerReceived(AnswerReceived event);

    /** Handles {@link AnswerEnded}. */
    void answerEnded(AnswerEnded event);

    /** Handles {@link EndpointHeard}. */
    void endpointHeard(EndpointHeard event);

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

    /** Handles {@link ReportRefused}. */
    void reportRefused(ReportRefused event);

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
