package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;

/**
 * Buffer of frames that cannot run yet. Either their session or epoch is not open, because the
 * entry sends the opening message and the previous stage the frame, or earlier positions are still
 * missing. Bounded in number, bytes and age; the oldest frames are dropped first.
 *
 * @param frames frames, oldest first
 * @param bytes size of the payloads in bytes
 */
record EarlyFrames(Vector<Frame> frames, long bytes) {
  private static final int MAX_FRAMES = 512;
  private static final long MAX_BYTES = 2L << 20;

  /** The entry opens all stages at once, so a frame is early by at most one network delay. */
  private static final long RETENTION_NANOS = 5_000_000_000L;

  /** Origin of a frame. */
  enum Origin {
    /** Step from the entry. */
    STEP,
    /** Output of the previous stage. */
    ACTIVATION
  }

  /**
   * Frame with the input of one position.
   *
   * @param peer sender
   * @param payload input
   * @param arrivedNanos monotonic time of arrival in nanoseconds
   */
  record Frame(
      PeerId peer,
      Origin origin,
      SessionId session,
      Epoch epoch,
      int position,
      Payload payload,
      long arrivedNanos) {}

  static EarlyFrames empty() {
    return new EarlyFrames(Vector.empty(), 0);
  }

  EarlyFrames add(Frame frame) {
    EarlyFrames next = of(frames.append(frame));
    while (next.frames.size() > MAX_FRAMES || (next.bytes > MAX_BYTES && next.frames.nonEmpty())) {
      next = of(next.frames.tail());
    }
    return next;
  }

  Vector<Frame> of(SessionId session) {
    return frames.filter(frame -> frame.session().equals(session));
  }

  EarlyFrames without(SessionId session) {
    return frames.exists(frame -> frame.session().equals(session))
        ? of(frames.reject(frame -> frame.session().equals(session)))
        : this;
  }

  EarlyFrames without(Frame frame) {
    return of(frames.remove(frame));
  }

  EarlyFrames withoutExpired(long nowNanos) {
    return frames.isEmpty()
        ? this
        : of(frames.filter(frame -> nowNanos - frame.arrivedNanos() < RETENTION_NANOS));
  }

  private static EarlyFrames of(Vector<Frame> frames) {
    return new EarlyFrames(
        frames, frames.map(frame -> frame.payload().sizeBytes()).sum().longValue());
  }
}
