package io.zinniawood.core.relay;

import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.route.RequestLimits;

/** Output of the relay's reducer. An effect dispatches itself through a {@link Visitor}. */
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

  /** Passes the answer of an attempt on to the caller. */
  record RelayAnswer(RelayRequestId id, int attempt) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.relayAnswer(this);
    }
  }

  /** Answers the caller without an endpoint. */
  record AnswerLocally(RelayRequestId id, LocalAnswer answer) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.answerLocally(this);
    }
  }

  /** Ends an answer that has begun, so that it does not look complete. */
  record AbortAnswer(RelayRequestId id) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.abortAnswer(this);
    }
  }

  /** Ends an attempt at its endpoint. */
  record CancelAttempt(RelayRequestId id, int attempt) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.cancelAttempt(this);
    }
  }

  /** Asks the first endpoint of a request to go on along another path. */
  record Repath(RelayRequestId id, int attempt, NodeAddress first, LayerPath path)
      implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.repath(this);
    }
  }

  /** Orders an endpoint to hold layers. */
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

  /** Reads the row of the controller lease. */
  record ReadLease() implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.readLease(this);
    }
  }

  /** Writes the row of the controller lease if its version is the expected one; 0 for no row. */
  record WriteLease(long expectedVersion, LeaseRow row) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.writeLease(this);
    }
  }

  /** Writes the row that shows the presence of this relay. */
  record WritePresence(VmId vm, long heartbeat) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.writePresence(this);
    }
  }

  /** Applies limits to new requests. */
  record ApplyLimits(RequestLimits limits) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.applyLimits(this);
    }
  }

  /** Tells the balancer whether new connections are welcome. */
  record SetReadiness(boolean ready) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.setReadiness(this);
    }
  }

  /** Ends the process: nothing is in progress. */
  record Stop() implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.stop(this);
    }
  }

  /** Writes a line to the log. */
  record LogDecision(Decision decision) implements RelayEffect {
    @Override
    public void accept(Visitor visitor) {
      visitor.logDecision(this);
    }
  }

  /** One method for each effect. */
  interface Visitor {
    /** Carries out {@link Send}. */
    void send(Send effect);

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
