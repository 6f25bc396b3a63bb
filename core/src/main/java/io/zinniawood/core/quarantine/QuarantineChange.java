package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;

/** Change of the set of subjects that are held back. */
public sealed interface QuarantineChange {
  /** Returns the subject whose state changed. */
  CrashSubject subject();

  /**
   * Requests with the subject are no longer sent.
   *
   * @param crashes number of crashes that the subject is taken to have caused
   * @param score weight of the evidence; see {@link CrashEvidence}
   * @param otherCandidates number of other subjects that may have caused one of these crashes
   * @param source whether the router itself concluded this or another one told it
   */
  record Held(CrashSubject subject, int crashes, double score, int otherCandidates, Source source)
      implements QuarantineChange {}

  /**
   * Another crash is attributed to a subject that is held back already.
   *
   * @param crashes number of crashes that the subject is taken to have caused
   */
  record HeldLonger(CrashSubject subject, int crashes) implements QuarantineChange {}

  /**
   * A request with the subject received an event, or the endpoints had not crashed, so it is sent
   * again.
   *
   * @param crashes number of crashes that had been attributed to the subject
   */
  record Released(CrashSubject subject, int crashes) implements QuarantineChange {}

  /** Origin of a decision to hold a subject back. */
  enum Source {
    /** Evidence that this router evaluated. */
    EVIDENCE,
    /** Notice of another router. */
    PEER
  }
}
