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
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Reads and writes the claim rows of idempotency keys and posts the results as events. */
public final class ClaimStore {
  private static final Logger LOGGER = System.getLogger(ClaimStore.class.getName());

  private final Table table;
  private final ClaimRowCodec codec;
  private final Consumer<AgentEvent> events;

  /** Creates a store that posts its results to the given consumer. */
  public ClaimStore(Table table, ClaimRowCodec codec, Consumer<AgentEvent> events) {
    this.table = table;
    this.codec = codec;
    this.events = events;
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
    CompletableFuture<ClaimWriteResult> result =
        effect.fence().value() == 0
            ? writeClaim(key, table.absentVersion(), effect)
            : read(key).thenCompose(found -> claimReleasedKey(key, found, effect));
    GuardedCalls.deliver(
        result, claim -> events.accept(new AgentEvent.ClaimWritten(effect.attempt(), claim)));
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
