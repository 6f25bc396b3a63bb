package io.zinniawood.core.agent;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Hashing;
import java.util.Arrays;

/**
 * Set of attempts whose results were evicted, stored as digests of 8 bytes each. An attempt in this
 * set must not run again.
 *
 * @param unsealed digests that are not yet in a sealed segment
 * @param sealed full segments, oldest first
 */
record EvictedAttempts(Set<Long> unsealed, Vector<Segment> sealed) {
  private static final int SEGMENT_SIZE = 4_096;

  /** 256 segments of 4,096 digests take 8 MiB, a sixth of the agent's heap. */
  private static final int MAX_SEGMENTS = 256;

  /**
   * Time for which a digest is kept. An entry resends an attempt only within the caller's deadline,
   * which is far shorter.
   */
  private static final long RETENTION_NANOS = 600_000_000_000L;

  /** Immutable sorted digests. */
  static final class Segment {
    private final long[] digests;
    private final long sealedNanos;

    private Segment(long[] digests, long sealedNanos) {
      this.digests = digests;
      this.sealedNanos = sealedNanos;
    }

    private boolean contains(long digest) {
      return Arrays.binarySearch(digests, digest) >= 0;
    }
  }

  static EvictedAttempts empty() {
    return new EvictedAttempts(HashSet.empty(), Vector.empty());
  }

  boolean contains(AttemptId attempt) {
    long digest = Hashing.of(attempt.value());
    return unsealed.contains(digest) || sealed.exists(segment -> segment.contains(digest));
  }

  /** Returns whether no segment is free and the oldest one must still be kept. */
  boolean isFull(long nowNanos) {
    return sealed.size() >= MAX_SEGMENTS && nowNanos - sealed.head().sealedNanos < RETENTION_NANOS;
  }

  EvictedAttempts add(AttemptId attempt, long nowNanos) {
    Set<Long> extended = unsealed.add(Hashing.of(attempt.value()));
    if (extended.size() < SEGMENT_SIZE) {
      return new EvictedAttempts(extended, sealed);
    }
    long[] digests = extended.toJavaStream().mapToLong(Long::longValue).sorted().toArray();
    // While the set is full, no attempt is admitted, so only live attempts can exceed the bound.
    Vector<Segment> kept =
        sealed.size() >= MAX_SEGMENTS && !isFull(nowNanos) ? sealed.tail() : sealed;
    return new EvictedAttempts(HashSet.empty(), kept.append(new Segment(digests, nowNanos)));
  }
}
