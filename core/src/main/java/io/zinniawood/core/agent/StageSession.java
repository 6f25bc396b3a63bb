package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.StageAddress;

/**
 * Session of one model request on this stage.
 *
 * @param opener entry that opened the session
 * @param open message of the current epoch
 * @param done first position that the engine has not finished
 * @param requested highest position that a frame of the current epoch named, -1 before
 * @param resend positions that the entry asked to send again in the current epoch
 * @param kept outputs that can be sent again
 * @param pending inputs of consecutive positions that wait for the next batch
 * @param running positions in the batch that the engine runs
 * @param lastFrameNanos time of the last accepted frame
 * @param transfer import of the KV cache
 */
record StageSession(
    PeerId opener,
    Message.OpenSession open,
    int done,
    int requested,
    Positions resend,
    KeptOutputs kept,
    Vector<Payload> pending,
    int running,
    long lastFrameNanos,
    Transfer transfer) {
  /**
   * Range of positions.
   *
   * @param from first position
   * @param toExclusive position after the last one
   */
  record Positions(int from, int toExclusive) {
    static final Positions NONE = new Positions(0, 0);

    boolean contains(int position) {
      return position >= from && position < toExclusive;
    }
  }

  /** State of the import of a KV cache. */
  sealed interface Transfer {
    /** No import is in progress. */
    record None() implements Transfer {}

    /** The old stage was asked for the cache. */
    record Requested() implements Transfer {}

    /**
     * The engine imports the cache.
     *
     * @param kept outputs that came with the cache; they end below its next position
     * @param nextPosition first position that the cache does not cover
     */
    record Loading(KeptOutputs kept, int nextPosition) implements Transfer {}
  }

  static final Transfer NO_TRANSFER = new Transfer.None();

  static StageSession opened(
      PeerId opener, Message.OpenSession open, long nowNanos, Transfer transfer) {
    return new StageSession(
        opener,
        open,
        0,
        -1,
        Positions.NONE,
        KeptOutputs.empty(),
        Vector.empty(),
        0,
        nowNanos,
        transfer);
  }

  SessionId id() {
    return open.session();
  }

  Epoch epoch() {
    return open.epoch();
  }

  /** Returns the first position that was not accepted. */
  int accepted() {
    return done + running + pending.size();
  }

  boolean transferring() {
    return !(transfer instanceof Transfer.None);
  }

  boolean lastStage() {
    return open.stageIndex() == open.chain().size() - 1;
  }

  Option<StageAddress> next() {
    return lastStage() ? Option.none() : Option.some(open.chain().get(open.stageIndex() + 1));
  }

  Option<StageAddress> previous() {
    return open.stageIndex() == 0
        ? Option.none()
        : Option.some(open.chain().get(open.stageIndex() - 1));
  }

  /** Tells whether the output of a position goes to the next stage in the current epoch. */
  boolean forwards(int position) {
    return (position >= open.rebuildPositions() && position <= requested)
        || resend.contains(position);
  }

  StageSession reopened(Message.OpenSession next, long nowNanos) {
    return new StageSession(
        opener, next, done, -1, Positions.NONE, kept, pending, running, nowNanos, transfer);
  }

  StageSession requested(int position, long nowNanos) {
    return new StageSession(
        opener,
        open,
        done,
        Math.max(requested, position),
        resend,
        kept,
        pending,
        running,
        nowNanos,
        transfer);
  }

  StageSession accept(Payload input) {
    return new StageSession(
        opener,
        open,
        done,
        requested,
        resend,
        kept,
        pending.append(input),
        running,
        lastFrameNanos,
        transfer);
  }

  /** Moves pending inputs into the running batch. */
  StageSession started(int steps) {
    return new StageSession(
        opener,
        open,
        done,
        requested,
        resend,
        kept,
        pending.drop(steps),
        running + steps,
        lastFrameNanos,
        transfer);
  }

  StageSession finished(Payload output) {
    return new StageSession(
        opener,
        open,
        done + 1,
        requested,
        resend,
        kept.append(output),
        pending,
        running - 1,
        lastFrameNanos,
        transfer);
  }

  StageSession withKept(KeptOutputs value) {
    return new StageSession(
        opener, open, done, requested, resend, value, pending, running, lastFrameNanos, transfer);
  }

  StageSession withResend(Positions value) {
    return new StageSession(
        opener, open, done, requested, value, kept, pending, running, lastFrameNanos, transfer);
  }

  StageSession withTransfer(Transfer value) {
    return new StageSession(
        opener, open, done, requested, resend, kept, pending, running, lastFrameNanos, value);
  }

  StageSession imported(KeptOutputs outputs, int nextPosition) {
    return new StageSession(
        opener,
        open,
        nextPosition,
        requested,
        resend,
        outputs,
        pending,
        0,
        lastFrameNanos,
        NO_TRANSFER);
  }
}
