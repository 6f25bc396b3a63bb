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
 * @param openMessage message that opened the current epoch
 * @param firstUnfinished first position that the engine has not finished
 * @param requested highest position in a frame of the current epoch, -1 if there was none
 * @param replayRange positions that the entry asked to replay in the current epoch
 * @param keptOutputs outputs kept for replays
 * @param pendingInputs inputs of consecutive positions that wait for the next batch
 * @param runningSteps number of positions in the batch that the engine runs
 * @param lastFrameNanos monotonic time of the last frame or opening message, in nanoseconds
 * @param cacheImport state of the import of the KV cache
 */
record StageSession(
    PeerId opener,
    Message.OpenSession openMessage,
    int firstUnfinished,
    int requested,
    PositionRange replayRange,
    KeptOutputs keptOutputs,
    Vector<Payload> pendingInputs,
    int runningSteps,
    long lastFrameNanos,
    CacheImport cacheImport) {
  /**
   * Range of positions.
   *
   * @param from first position
   * @param toExclusive position after the last one
   */
  record PositionRange(int from, int toExclusive) {
    static final PositionRange EMPTY = new PositionRange(0, 0);

    boolean contains(int position) {
      return position >= from && position < toExclusive;
    }
  }

  /** State of the import of a KV cache. */
  sealed interface CacheImport {
    /** No import is in progress. */
    record None() implements CacheImport {}

    /** The cache was requested from the old stage. */
    record Requested() implements CacheImport {}

    /**
     * The engine imports the cache.
     *
     * @param keptOutputs outputs that came with the cache; they end below its next position
     * @param nextPosition first position that the cache does not cover
     */
    record Loading(KeptOutputs keptOutputs, int nextPosition) implements CacheImport {}
  }

  static final CacheImport NO_IMPORT = new CacheImport.None();

  static StageSession opened(
      PeerId opener, Message.OpenSession open, long nowNanos, CacheImport cacheImport) {
    return new StageSession(
        opener,
        open,
        0,
        -1,
        PositionRange.EMPTY,
        KeptOutputs.empty(),
        Vector.empty(),
        0,
        nowNanos,
        cacheImport);
  }

  SessionId id() {
    return openMessage.session();
  }

  Epoch epoch() {
    return openMessage.epoch();
  }

  /** Returns the first position whose input was not accepted yet. */
  int firstUnaccepted() {
    return firstUnfinished + runningSteps + pendingInputs.size();
  }

  boolean isImporting() {
    return !(cacheImport instanceof CacheImport.None);
  }

  boolean isLastStage() {
    return openMessage.stageIndex() == openMessage.chain().size() - 1;
  }

  Option<StageAddress> nextStage() {
    return isLastStage()
        ? Option.none()
        : Option.some(openMessage.chain().get(openMessage.stageIndex() + 1));
  }

  Option<StageAddress> previousStage() {
    return openMessage.stageIndex() == 0
        ? Option.none()
        : Option.some(openMessage.chain().get(openMessage.stageIndex() - 1));
  }

  /**
   * Tells whether the output of a position goes to the next stage in the current epoch. Outputs of
   * rebuilt positions go there only on a replay.
   */
  boolean shouldForward(int position) {
    return (position >= openMessage.rebuildPositions() && position <= requested)
        || replayRange.contains(position);
  }

  StageSession reopened(Message.OpenSession next, long nowNanos) {
    return new StageSession(
        opener,
        next,
        firstUnfinished,
        -1,
        PositionRange.EMPTY,
        keptOutputs,
        pendingInputs,
        runningSteps,
        nowNanos,
        cacheImport);
  }

  StageSession requested(int position, long nowNanos) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished,
        Math.max(requested, position),
        replayRange,
        keptOutputs,
        pendingInputs,
        runningSteps,
        nowNanos,
        cacheImport);
  }

  StageSession withAcceptedInput(Payload input) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished,
        requested,
        replayRange,
        keptOutputs,
        pendingInputs.append(input),
        runningSteps,
        lastFrameNanos,
        cacheImport);
  }

  /** Moves pending inputs into the running batch. */
  StageSession withStartedSteps(int steps) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished,
        requested,
        replayRange,
        keptOutputs,
        pendingInputs.drop(steps),
        runningSteps + steps,
        lastFrameNanos,
        cacheImport);
  }

  StageSession withFinishedStep(Payload output) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished + 1,
        requested,
        replayRange,
        keptOutputs.append(output),
        pendingInputs,
        runningSteps - 1,
        lastFrameNanos,
        cacheImport);
  }

  StageSession withKeptOutputs(KeptOutputs value) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished,
        requested,
        replayRange,
        value,
        pendingInputs,
        runningSteps,
        lastFrameNanos,
        cacheImport);
  }

  StageSession withReplayRange(PositionRange value) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished,
        requested,
        value,
        keptOutputs,
        pendingInputs,
        runningSteps,
        lastFrameNanos,
        cacheImport);
  }

  StageSession withCacheImport(CacheImport value) {
    return new StageSession(
        opener,
        openMessage,
        firstUnfinished,
        requested,
        replayRange,
        keptOutputs,
        pendingInputs,
        runningSteps,
        lastFrameNanos,
        value);
  }

  StageSession imported(KeptOutputs outputs, int nextPosition) {
    return new StageSession(
        opener,
        openMessage,
        nextPosition,
        requested,
        replayRange,
        outputs,
        pendingInputs,
        0,
        lastFrameNanos,
        NO_IMPORT);
  }
}
