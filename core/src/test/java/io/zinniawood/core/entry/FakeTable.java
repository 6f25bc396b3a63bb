package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.ServiceAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** In-memory table with the claim rows and the lease row, and switches for its faults. */
final class FakeTable {
  final Map<ClaimKey, ClaimRow> claims = new HashMap<>();

  Option<LeaseRow> lease = Option.none();
  long leaseVersion;
  boolean unavailable;
  boolean unresponsive;
  final Map<String, RequestId> lastRequestByKey = new HashMap<>();
  final Map<String, String> notRunReplyByKey = new HashMap<>();
  final Set<String> executedKeys = new HashSet<>();
  boolean losesResponses;

  /**
   * Writes a claim row if the key is free or was released with the same fence; otherwise returns
   * the row that holds the key.
   */
  Option<ClaimRow> claim(ClaimKey key, ClaimRow claim) {
    ClaimRow row = claims.get(key);
    boolean free =
        row == null
            ? claim.fence().value() == 0
            : row.state() == ClaimState.RELEASED && row.fence().equals(claim.fence());
    if (free) {
      claims.put(key, claim);
    }
    return free ? Option.none() : Option.of(row);
  }

  void finish(ClaimKey key, ServiceAnswer answer) {
    ClaimRow row = claims.get(key);
    claims.put(
        key,
        new ClaimRow(
            row.owner(),
            row.incarnation(),
            row.attempt(),
            row.requestDigest(),
            ClaimState.FINISHED,
            row.fence(),
            Option.some(answer)));
  }

  /** Writes a tombstone for the attempt unless a row holds the key. */
  ClaimReleaseResult release(EntryEffect.ReleaseClaim effect) {
    if (unavailable) {
      return new ClaimReleaseResult.Unavailable();
    }
    ClaimRow row = claims.get(effect.key());
    if (row != null && row.state() != ClaimState.RELEASED) {
      return new ClaimReleaseResult.Held(row);
    }
    Fence next = new Fence(row == null ? 1 : row.fence().value() + 1);
    claims.put(
        effect.key(),
        new ClaimRow(
            new EndpointId("none"),
            new Incarnation(0),
            effect.attempt(),
            effect.requestDigest(),
            ClaimState.RELEASED,
            next,
            Option.none()));
    return losesResponses
        ? new ClaimReleaseResult.Unavailable()
        : new ClaimReleaseResult.Released(next);
  }
}
