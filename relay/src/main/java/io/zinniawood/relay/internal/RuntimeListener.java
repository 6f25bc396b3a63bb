package io.zinniawood.relay.internal;

import io.zinniawood.core.relay.RelayEffect;

/** Receives the effects of a runtime that concern the process. */
public interface RuntimeListener {
  /** The readiness changed. */
  void readinessChanged(boolean ready);

  /** No request is open after draining; the process may exit. */
  void drained();

  /** The reducer made a decision that is to be logged. */
  void decisionMade(RelayEffect.LogDecision decision);

  /** A stream advanced by one or more events with a new id. */
  void streamAdvanced();
}
