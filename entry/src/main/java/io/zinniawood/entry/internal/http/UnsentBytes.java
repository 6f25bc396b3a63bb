package io.zinniawood.entry.internal.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that wait for slow callers, over all streams of the process. */
final class UnsentBytes {
  /**
   * Most bytes that wait for one caller: about 1,300 token events, or some 25 s of a stalled
   * network at 50 tokens/s. Beyond it the caller is cancelled.
   */
  static final long MAX_STREAM_BYTES = 262_144;

  /** Most bytes that wait for all callers, so that many stalled callers cannot fill the heap. */
  static final long MAX_TOTAL_BYTES = 67_108_864;

  /** A stream below this share is not cancelled for the sum of the others. */
  private static final long GUARANTEED_STREAM_BYTES = 16_384;

  private final AtomicLong totalBytes = new AtomicLong();

  /** Returns an account for one stream. */
  Stream openStream() {
    return new Stream();
  }

  /** Returns the bytes that wait now. */
  long totalBytes() {
    return totalBytes.get();
  }

  /** Bytes that wait for one caller. */
  final class Stream {
    private final AtomicLong streamBytes = new AtomicLong();

    /** Adds bytes that are about to be written; returns false if the caller is too slow. */
    boolean tryAdd(long bytes) {
      long ofStream = streamBytes.addAndGet(bytes);
      long ofAll = totalBytes.addAndGet(bytes);
      boolean tooSlow =
          ofStream > MAX_STREAM_BYTES
              || (ofAll > MAX_TOTAL_BYTES && ofStream > GUARANTEED_STREAM_BYTES);
      if (tooSlow) {
        remove(bytes);
      }
      return !tooSlow;
    }

    /** Removes bytes that were written or dropped with their connection. */
    void remove(long bytes) {
      streamBytes.addAndGet(-bytes);
      totalBytes.addAndGet(-bytes);
    }
  }
}
