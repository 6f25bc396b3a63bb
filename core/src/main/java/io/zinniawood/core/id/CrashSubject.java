package io.zinniawood.core.id;

import java.util.Comparator;

/**
 * What may crash the endpoints that begin to run a request: a part of its prompt, or the request
 * itself.
 */
public sealed interface CrashSubject extends Comparable<CrashSubject>
    permits PromptPartId, RequestFingerprint {
  /** Parts before requests, each by value; equal on every node. */
  Comparator<CrashSubject> ORDER =
      Comparator.comparing((CrashSubject subject) -> subject instanceof RequestFingerprint)
          .thenComparing(CrashSubject::value);

  /** Returns the text of the id. */
  String value();

  @Override
  default int compareTo(CrashSubject other) {
    return ORDER.compare(this, other);
  }
}
