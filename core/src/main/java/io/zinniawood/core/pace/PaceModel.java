package io.zinniawood.core.pace;

import io.zinniawood.core.load.EndpointLoad;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import java.util.List;

/**
 * Expected time between the events of a stream.
 *
 * @param handoverMillis time to hand over an event from one endpoint to the next
 * @param queueingFactor time of a pass including queueing, relative to the pass itself
 */
public record PaceModel(EngineProfile engine, double handoverMillis, double queueingFactor) {
  /** Maximum number of prompt tokens that an engine reads between two token steps. */
  private static final double PREFILL_CHUNK_TOKENS = 512;

  /** Returns the expected time between the events of a stream on a path at its present load. */
  public double gapMillis(List<PacePart> path) {
    double millis = 0;
    for (PacePart part : path) {
      millis += partMillis(part);
    }
    return millis;
  }

  /** Returns the gap of a stream that is alone on its path. */
  double idleGapMillis(List<PacePart> path) {
    double millis = 0;
    for (PacePart part : path) {
      millis += handoverMillis + passMillis(part, 1, 0);
    }
    return millis;
  }

  double partMillis(PacePart part) {
    EndpointLoad load = part.load();
    return handoverMillis
        + passMillis(part, load.requests(), load.tokens())
        + prefillDelayMillis(part, pendingTokens(part));
  }

  /** Returns what a new stream changes at an endpoint for the streams there. */
  AddedDelay addedDelay(PacePart part, PaceDemand demand) {
    EndpointLoad load = part.load();
    double requests = demand.roomRequests();
    double before = passMillis(part, load.requests(), load.tokens());
    double after =
        passMillis(part, load.requests() + requests, load.tokens() + requests * demand.tokens());
    return new AddedDelay(
        after - before, prefillDelayMillis(part, demand.promptTokens()), handoverMillis + before);
  }

  /** Returns the time in which a new prompt and those before it are read at an endpoint. */
  double readMillis(PacePart part, PaceDemand demand) {
    double tokens = queueingFactor * demand.promptTokens() + pendingTokens(part);
    return prefillMillis(part.accelerator(), tokens) * part.layers();
  }

  /**
   * Returns the gap of a stream that runs on endpoints like this one only.
   *
   * @param requests requests at each of these endpoints
   * @param tokens tokens at each of these endpoints
   */
  double uniformGapMillis(PacePart part, double requests, double tokens) {
    double parts = (double) engine.layers() / part.heldLayers();
    return parts * handoverMillis
        + queueingFactor
            * engine.passMillisPerLayer(part.accelerator(), requests, tokens)
            * engine.layers();
  }

  private double passMillis(PacePart part, double requests, double tokens) {
    return queueingFactor
        * engine.passMillisPerLayer(part.accelerator(), requests, tokens)
        * part.layers();
  }

  /** Returns the unread prompt tokens at an endpoint: a prompt is at one endpoint at a time. */
  private double pendingTokens(PacePart part) {
    return part.load().promptTokens() * part.heldLayers() / engine.layers();
  }

  /** Returns the longest delay of an event: prompts are read in chunks between token steps. */
  private double prefillDelayMillis(PacePart part, double tokens) {
    double readTokens = Math.min(tokens, PREFILL_CHUNK_TOKENS * engine.stepsPerPass());
    return prefillMillis(part.accelerator(), readTokens) * part.layers();
  }

  private double prefillMillis(AcceleratorProfile accelerator, double tokens) {
    return engine.prefillMillisPerLayer(accelerator, (int) Math.ceil(tokens));
  }
}
