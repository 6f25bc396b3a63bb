package io.zinniawood.entry.internal.http;

import java.util.concurrent.atomic.AtomicLong;

/** Counts and limits the bytes of streams that are not sent to callers yet. Thread-safe. */
final class UnsentBytes {
  /**
   * Most unsent bytes of one stream: about 1,300 token events, or some 25 s of a stalled network at
   * 50 tokens/s. A request above this limit is cancelled.
   */
  static final long MAX_STREAM_BYTES = 262_144;

  /** Most unsent bytes of all streams, so that many stalled callers cannot exhaust the heap. */
  static final long MAX_TOTAL_BYTES = 67_108_864;

  /** A stream up to this size is not cancelled when all streams exceed their common limit. */
  private static final long GUARANTEED_STREAM_BYTES = 16_384;

  private final AtomicLong totalBytes = new AtomicLong();

  /** Returns a counter for a new stream. */
  Stream openStream() {
    return new Stream();
  }

  /** Returns the unsent bytes of all streams. */
  long totalBytes() {
    return totalBytes.get();
  }

  /** Unsent bytes of one stream. */
  final class Stream {
    private final AtomicLong streamBytes = new AtomicLong();

    /** Adds bytes that are about to be written; returns false, adding none, above a limit. */
    boolean tryAdd(long bytes) {
      long unsentOfStream = streamBytes.addAndGet(bytes);
      long unsentOfAll = totalBytes.addAndGet(bytes);
      boolean tooSlow =
          unsentOfStream > MAX_STREAM_BYTES
              || (unsentOfAll > MAX_TOTAL_BYTES && unsentOfStream > GUARANTEED_STREAM_BYTES);
      if (tooSlow) {
        remove(bytes);
      }
      return !tooSlow;
    }

    /** Removes bytes that were sent, or dropped because the connection closed. */
    void remove(long bytes) {
      streamBytes.addAndGet(-bytes);
      totalBytes.addAndGet(-bytes);
    }
  }
}
