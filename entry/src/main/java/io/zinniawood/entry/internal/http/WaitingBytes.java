package io.zinniawood.entry.internal.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that wait for slow callers, over all streams of the process. */
final class WaitingBytes {
  /**
   * Most bytes that wait for one caller: about 1,300 token events, or some 25 s of a stalled
   * network at 50 tokens/s. Beyond it the caller is cancelled.
   */
  static final long MAX_STREAM_BYTES = 262_144;

  /** Most bytes that wait for all callers, so that many stalled callers cannot fill the heap. */
  static final long MAX_TOTAL_BYTES = 67_108_864;

  /** A stream below this share is not cancelled for the sum of the others. */
  private static final long SMALL_STREAM_BYTES = 16_384;

  private final AtomicLong total = new AtomicLong();

  /** Returns an account for one stream. */
  Stream open() {
    return new Stream();
  }

  /** Returns the bytes that wait now. */
  long total() {
    return total.get();
  }

  /** Bytes that wait for one caller. */
  final class Stream {
    private final AtomicLong waiting = new AtomicLong();

    /** Adds bytes that are about to be written; returns false if the caller is too slow. */
    boolean add(long bytes) {
      long ofStream = waiting.addAndGet(bytes);
      long ofAll = total.addAndGet(bytes);
      boolean tooSlow =
          ofStream > MAX_STREAM_BYTES || (ofAll > MAX_TOTAL_BYTES && ofStream > SMALL_STREAM_BYTES);
      if (tooSlow) {
        written(bytes);
      }
      return !tooSlow;
    }

    /** Removes bytes that were written or dropped with their connection. */
    void written(long bytes) {
      waiting.addAndGet(-bytes);
      total.addAndGet(-bytes);
    }
  }
}
