package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;

/**
 * Frames that arrived before their session or epoch was opened: the message that opens it comes
 * from the entry, the frame from the previous stage. Also frames that overtook earlier positions.
 * Bounded in number, bytes and time.
 *
 * @param frames frames, oldest first
 * @param bytes size of the payloads in bytes
 */
record EarlyFrames(Vector<Frame> frames, long bytes) {
  private static final int MAX_FRAMES = 512;
  private static final long MAX_BYTES = 2L << 20;

  /** An entry opens all stages at once, so a frame is early by one network delay at most. */
  private static final long RETENTION_NANOS = 5_000_000_000L;

  /** Origin of a frame. */
  enum Origin {
    /** Step from the entry. */
    STEP,
    /** Output of the previous stage. */
    ACTIVATION
  }

  /**
   * Input of one position.
   *
   * @param peer sender
   * @param origin origin
   * @param session session
   * @param epoch epoch
   * @param position position
   * @param payload input
   * @param arrivedNanos time of arrival
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
