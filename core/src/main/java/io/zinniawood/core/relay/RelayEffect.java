package io.zinniawood.core.relay;

import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.route.RequestLimits;
import java.util.List;
import java.util.Optional;

/** Output of the relay's reducer, carried out by a {@link Visitor}. */
public sealed interface RelayEffect {
  /** Calls the visitor's method for this effect. */
  void accept(Visitor visitor);

  /** Sends a request to an endpoint. */
  record Send(RelayRequestId id, int attempt, NodeAddress address, SendOptions options)
      implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.send(this);
    }
  }

  /**
   * Asks the endpoint of an attempt for a sign of life, which is delivered as {@link
   * RelayEvent.EndpointHeard}.
   */
  record ConfirmEndpoint(RelayRequestId id, int attempt) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.confirmEndpoint(this);
    }
  }

  /** Treats the answer of an attempt that ended with its connection as complete. */
  record TakeAnswer(RelayRequestId id, int attempt) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.takeAnswer(this);
    }
  }

  /** Relays the answer of an attempt to the caller. */
  record RelayAnswer(RelayRequestId id, int attempt) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.relayAnswer(this);
    }
  }

  /** Sends the caller an answer that the relay generated. */
  record AnswerLocally(RelayRequestId id, LocalAnswer answer) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.answerLocally(this);
    }
  }

  /** Aborts an answer that has begun, so that the caller does not take it for complete. */
  record AbortAnswer(RelayRequestId id) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.abortAnswer(this);
    }
  }

  /** Cancels an attempt at its endpoint. */
  record CancelAttempt(RelayRequestId id, int attempt) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.cancelAttempt(this);
    }
  }

  /** Tells the first endpoint of a request to continue it along another path. */
  record Repath(RelayRequestId id, int attempt, NodeAddress first, LayerPath path)
      implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.repath(this);
    }
  }

  /** Sends a placement order to an endpoint. */
  record Order(PlacementOrder order) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.order(this);
    }
  }

  /** Reads the report of an endpoint. */
  record ReadReport(EndpointId endpoint, NodeAddress address) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.readReport(this);
    }
  }

  /** Reads the complete endpoint list. */
  record ListEndpoints() implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.listEndpoints(this);
    }
  }

  /** Reads the changes of the endpoint list after a version of the store. */
  record ReadEndpointChanges(StoreVersion afterVersion) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.readEndpointChanges(this);
    }
  }

  /** Reads the routing table. */
  record ReadRoutes() implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.readRoutes(this);
    }
  }

  /** Reads the routing table if it changes after a version of the store, within a time. */
  record AwaitRoutes(StoreVersion afterVersion, long waitMillis) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.awaitRoutes(this);
    }
  }

  /** Sends a message to other relays; it may get lost. */
  record SendToPeers(List<NodeAddress> receivers, PeerMessage message) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.sendToPeers(this);
    }
  }

  /** Reads the controller lease row. */
  record ReadLease() implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.readLease(this);
    }
  }

  /** Writes the controller lease row if its version is as expected; 0 means no row exists. */
  record WriteLease(long expectedVersion, LeaseRow row) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.writeLease(this);
    }
  }

  /** Writes the presence row of this relay with an increasing heartbeat number. */
  record WritePresence(VmId vm, Optional<NodeAddress> peerAddress, long heartbeat)
      implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.writePresence(this);
    }
  }

  /** Applies the request limits of the routing table to new requests. */
  record ApplyLimits(RequestLimits limits) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.applyLimits(this);
    }
  }

  /** Reports to the load balancer whether this relay accepts new connections. */
  record SetReadiness(boolean ready) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.setReadiness(this);
    }
  }

  /** Stops the process; no request is open. */
  record Stop() implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.stop(this);
    }
  }

  /** Writes an entry to the decision log. */
  record LogDecision(Decision decision) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.logDecision(this);
    }
  }

  /** Handler with one method for each effect type. */
  interface Visitor {
    /** Carries out {@link Send}. */
    void send(Send effect);

    /** Carries out {@link ConfirmEndpoint}. */
    void confirmEndpoint(ConfirmEndpoint effect);

    /** Carries out {@link TakeAnswer}. */
    void takeAnswer(TakeAnswer effect);

    /** Carries out {@link RelayAnswer}. */
    void relayAnswer(RelayAnswer effect);

    /** Carries out {@link AnswerLocally}. */
    void answerLocally(AnswerLocally effect);

    /** Carries out {@link AbortAnswer}. */
    void abortAnswer(AbortAnswer effect);

    /** Carries out {@link CancelAttempt}. */
    void cancelAttempt(CancelAttempt effect);

    /** Carries out {@link Repath}. */
    void repath(Repath effect);

    /** Carries out {@link Order}. */
    void order(Order effect);

    /** Carries out {@link ReadReport}. */
    void readReport(ReadReport effect);

    /** Carries out {@link ListEndpoints}. */
    void listEndpoints(ListEndpoints effect);

    /** Carries out {@link ReadEndpointChanges}. */
    void readEndpointChanges(ReadEndpointChanges effect);

    /** Carries out {@link ReadRoutes}. */
    void readRoutes(ReadRoutes effect);

    /** Carries out {@link AwaitRoutes}. */
    void awaitRoutes(AwaitRoutes effect);

    /** Carries out {@link SendToPeers}. */
    void sendToPeers(SendToPeers effect);

    /** Carries out {@link ReadLease}. */
    void readLease(ReadLease effect);

    /** Carries out {@link WriteLease}. */
    void writeLease(WriteLease effect);

    /** Carries out {@link WritePresence}. */
    void writePresence(WritePresence effect);

    /** Carries out {@link ApplyLimits}. */
    void applyLimits(ApplyLimits effect);

    /** Carries out {@link SetReadiness}. */
    void setReadiness(SetReadiness effect);

    /** Carries out {@link Stop}. */
    void stop(Stop effect);

    /** Carries out {@link LogDecision}. */
    void logDecision(LogDecision effect);
  }
}
