package io.zinniawood.core.relay;

import io.zinniawood.core.quarantine.CrashCandidate;
import io.zinniawood.core.quarantine.CrashId;
import java.util.ArrayList;
import java.util.List;

/** Endpoint that lost a connection and may have crashed; its report will tell. */
final class PendingCrash {
  final CrashId id;
  final long atNanos;
  final List<CrashCandidate> candidates = new ArrayList<>();

  PendingCrash(CrashId id, long atNanos) {
    this.id = id;
    this.atNanos = atNanos;
  }
}
