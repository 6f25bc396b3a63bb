package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.ClaimWriteResult;
import io.zinniawood.core.agent.StoreWriteResult;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import io.zinniawood.store.claim.ClaimRowCodec;
import io.zinniawood.store.claim.ClaimRowKey;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Reads and writes the claim rows of idempotency keys and posts the results as events. */
public final class ClaimStore {
  private static final Logger LOGGER = System.getLogger(ClaimStore.class.getName());

  private final Table table;
  private final ClaimRowCodec codec;
  private final Consumer<AgentEvent> events;
  private final RecentClaims recent;
  private final Executor delayed;
  private final AtomicBoolean checking = new AtomicBoolean();

  /**
   * Creates a store that posts its results to the given consumer.
   *
   * @param clockNanos monotonic clock in nanoseconds
   * @param delayed runs a task after {@link RecentClaims#CHECK_INTERVAL_NANOS}
   */
  public ClaimStore(
      Table table,
      ClaimRowCodec codec,
      Consumer<AgentEvent> events,
      LongSupplier clockNanos,
      Executor delayed) {
    this.table = table;
    this.codec = codec;
    this.events = events;
    this.recent = new RecentClaims(clockNanos);
    this.delayed = delayed;
    table.onNewerEra(this::storeRestored);
  }

  /** Returns an executor that runs each task after the interval of the checks of the era. */
  public static Executor delayedByCheckInterval() {
    return CompletableFuture.delayedExecutor(
        RecentClaims.CHECK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  private void storeRestored(long era) {
    recent.restored();
    Map<String, ClaimRow> rows = recent.rows();
    LOGGER.log(
        Level.WARNING,
        "store era {0}: writing {1} recent claims again; calls with new keys wait",
        Long.toString(era),
        rows.size());
    rows.forEach((key, row) -> writeAgain(key, row));
  }

  private void writeAgain(String key, ClaimRow row) {
    GuardedCalls.deliver(
        read(key).thenCompose(found -> replaceLostRow(key, found, row)),
        result -> {
          if (result == StoreWriteResult.FAILED && row.equals(recent.rows().get(key))) {
            delayed.execute(() -> writeAgain(key, row));
          }
        });
  }

  /**
   * Writes a row again that the store has lost. The row of another attempt that may have run stays.
   */
  private CompletableFuture<StoreWriteResult> replaceLostRow(
      String key, Either<PlatformError, Option<TableRow>> found, ClaimRow row) {
    if (found.isLeft()) {
      return CompletableFuture.completedFuture(StoreWriteResult.FAILED);
    }
    Option<ClaimRow> current = found.get().flatMap(this::decode);
    boolean own = current.exists(other -> other.attempt().equals(row.attempt()));
    if (current.exists(other -> other.state() != ClaimState.RELEASED) && !own) {
      LOGGER.log(
          Level.ERROR,
          "claim {0} of attempt {1} is lost and attempt {2} holds the key: the call may run twice",
          key,
          row.attempt(),
          current.get().attempt());
      return CompletableFuture.completedFuture(StoreWriteResult.DONE);
    }
    if (own && (current.get().equals(row) || current.get().state() != ClaimState.STARTED)) {
      return CompletableFuture.completedFuture(StoreWriteResult.DONE);
    }
    long version = found.get().map(TableRow::version).getOrElse(table.absentVersion());
    return write(key, version, row)
        .thenApply(
            result -> {
              if (!result.exists(write -> write instanceof TableWriteResult.Written)) {
                return StoreWriteResult.FAILED;
              }
              LOGGER.log(Level.WARNING, "claim {0} is written again as {1}", key, row.state());
              return StoreWriteResult.DONE;
            });
  }

  /** Reads a row from time to time while the agent has recent claims, to learn of a new era. */
  private void checkEra() {
    if (checking.compareAndSet(false, true)) {
      delayed.execute(
          () -> {
            checking.set(false);
            recent.rows().keySet().stream()
                .findFirst()
                .ifPresent(key -> GuardedCalls.deliver(read(key), found -> checkEra()));
          });
    }
  }

  private static PlatformError responseLost(Throwable exception) {
    return new PlatformError.ResponseLost(exception.toString());
  }

  private CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
    return GuardedCalls.guarded(() -> table.read(key), ClaimStore::responseLost);
  }

  private CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, ClaimRow row) {
    return GuardedCalls.guarded(
        () -> table.write(key, expectedVersion, codec.encode(row)), ClaimStore::responseLost);
  }

  /** Writes a claim row for a key; posts {@link AgentEvent.ClaimWritten}. */
  public void claim(AgentEffect.WriteClaim effect) {
    String key = ClaimRowKey.of(effect.key());
    if (recent.holding()) {
      events.accept(
          new AgentEvent.ClaimWritten(effect.attempt(), new ClaimWriteResult.NotWritten()));
      return;
    }
    CompletableFuture<ClaimWriteResult> result =
        effect.fence().value() == 0
            ? writeClaim(key, table.absentVersion(), effect)
            : read(key).thenCompose(found -> claimReleasedKey(key, found, effect));
    GuardedCalls.deliver(
        result.thenApply(claim -> afterClaim(key, effect.row(), claim)),
        claim -> events.accept(new AgentEvent.ClaimWritten(effect.attempt(), claim)));
  }

  /** A claim whose write showed a new era is not certain to be the first of its key. */
  private ClaimWriteResult afterClaim(String key, ClaimRow row, ClaimWriteResult claim) {
    if (!(claim instanceof ClaimWriteResult.Claimed)) {
      return claim;
    }
    if (recent.holding()) {
      return new ClaimWriteResult.OutcomeUnknown();
    }
    recent.add(key, row);
    checkEra();
    return claim;
  }

  private CompletableFuture<ClaimWriteResult> claimReleasedKey(
      String key, Either<PlatformError, Option<TableRow>> found, AgentEffect.WriteClaim effect) {
    if (found.isLeft()) {
      return completed(new ClaimWriteResult.NotWritten());
    }
    if (found.get().isEmpty()) {
      return writeClaim(key, table.absentVersion(), effect);
    }
    TableRow current = found.get().get();
    Option<ClaimRow> row = decode(current);
    boolean claimable =
        row.exists(r -> r.state() == ClaimState.RELEASED && r.fence().equals(effect.fence()));
    return claimable
        ? writeClaim(key, current.version(), effect)
        : completed(compareWithWritten(row, effect.row()));
  }

  private CompletableFuture<ClaimWriteResult> writeClaim(
      String key, long version, AgentEffect.WriteClaim effect) {
    return write(key, version, effect.row())
        .thenCompose(
            result -> {
              if (result.isLeft()) {
                return result.getLeft() instanceof PlatformError.ResponseLost
                    ? readBack(key, effect)
                    : completed(new ClaimWriteResult.NotWritten());
              }
              if (result.get() instanceof TableWriteResult.Conflict conflict) {
                return completed(
                    conflict
                        .currentRow()
                        .map(row -> compareWithWritten(decode(row), effect.row()))
                        .getOrElse(new ClaimWriteResult.NotWritten()));
              }
              return completed(new ClaimWriteResult.Claimed());
            });
  }

  /** After the response of a write was lost, reads the row to see whether the write took effect. */
  private CompletableFuture<ClaimWriteResult> readBack(String key, AgentEffect.WriteClaim effect) {
    return read(key)
        .thenApply(
            found -> {
              if (found.isLeft() || found.get().isEmpty()) {
                return new ClaimWriteResult.OutcomeUnknown();
              }
              return compareWithWritten(decode(found.get().get()), effect.row());
            });
  }

  /** Returns the claim as held by this attempt if the row in the table equals the written one. */
  private static ClaimWriteResult compareWithWritten(Option<ClaimRow> row, ClaimRow written) {
    if (row.isEmpty()) {
      return new ClaimWriteResult.OutcomeUnknown();
    }
    return row.get().equals(written)
        ? new ClaimWriteResult.Claimed()
        : new ClaimWriteResult.HeldByOther(row.get());
  }

  private static CompletableFuture<ClaimWriteResult> completed(ClaimWriteResult result) {
    return CompletableFuture.completedFuture(result);
  }

  private Option<ClaimRow> decode(TableRow row) {
    return codec
        .decode(row.value().bytes())
        .peekLeft(
            error ->
                LOGGER.log(
                    Level.ERROR, "cannot decode claim row {0}: {1}", row.key(), error.detail()))
        .toOption();
  }

  /**
   * Replaces the row of an attempt in state STARTED by its final row; posts {@link
   * AgentEvent.AnswerStored}. A row of another attempt or state is left unchanged.
   */
  public void storeAnswer(AgentEffect.StoreAnswer effect) {
    String key = ClaimRowKey.of(effect.key());
    recent.addFinal(key, effect.row());
    GuardedCalls.deliver(
        read(key).thenCompose(found -> replaceStartedRow(key, found, effect.row())),
        result -> events.accept(new AgentEvent.AnswerStored(effect.attempt(), result)));
  }

  private CompletableFuture<StoreWriteResult> replaceStartedRow(
      String key, Either<PlatformError, Option<TableRow>> found, ClaimRow row) {
    if (found.isLeft()) {
      return CompletableFuture.completedFuture(StoreWriteResult.FAILED);
    }
    boolean started =
        found
            .get()
            .flatMap(this::decode)
            .exists(
                current ->
                    current.attempt().equals(row.attempt())
                        && current.state() == ClaimState.STARTED);
    if (!started && recent.holds(key, row.attempt())) {
      return replaceLostRow(key, found, row);
    }
    if (!started) {
      return CompletableFuture.completedFuture(StoreWriteResult.DONE);
    }
    return write(key, found.get().get().version(), row)
        .thenApply(
            result ->
                result.exists(write -> write instanceof TableWriteResult.Written)
                    ? StoreWriteResult.DONE
                    : StoreWriteResult.FAILED);
  }
}
