package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;

/** Change of the set of parts that are held back. */
public sealed interface QuarantineChange {
  /** Returns the part whose state changed. */
  PromptPartId part();

  /**
   * Requests with the part are no longer sent.
   *
   * @param crashes number of crashes that the part is taken to have caused
   * @param score weight of the evidence; see {@link CrashEvidence}
   * @param otherCandidates number of other parts that may have caused one of these crashes
   * @param source whether the router itself concluded this or another one told it
   */
  record Held(PromptPartId part, int crashes, double score, int otherCandidates, Source source)
      implements QuarantineChange {}

  /**
   * Another crash is attributed to a part that is held back already.
   *
   * @param crashes number of crashes that the part is taken to have caused
   */
  record HeldLonger(PromptPartId part, int crashes) implements QuarantineChange {}

  /**
   * A request with the part received an event, or the endpoints had not crashed, so it is sent
   * again.
   *
   * @param crashes number of crashes that had been attributed to the part
   */
  record Released(PromptPartId part, int crashes) implements QuarantineChange {}

  /** Origin of a decision to hold a part back. */
  enum Source {
    /** Evidence that this router evaluated. */
    EVIDENCE,
    /** Notice of another router. */
    PEER
  }
}
