package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.ClaimWrite;
import io.zinniawood.core.agent.StoreWrite;
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

/** Reads and writes claim rows; posts the results as events. */
public final class ClaimStore {
  private static final Logger LOGGER = System.getLogger(ClaimStore.class.getName());

  private final Table table;
  private final ClaimRowCodec codec;
  private final Consumer<AgentEvent> events;

  /** Creates a store that posts to the given consumer. */
  public ClaimStore(Table table, ClaimRowCodec codec, Consumer<AgentEvent> events) {
    this.table = table;
    this.codec = codec;
    this.events = events;
  }

  private static PlatformError lost(Throwable fault) {
    return new PlatformError.ResponseLost(fault.toString());
  }

  private CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
    return Calls.guarded(() -> table.read(key), ClaimStore::lost);
  }

  private CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, ClaimRow row) {
    return Calls.guarded(
        () -> table.write(key, expectedVersion, codec.encode(row)), ClaimStore::lost);
  }

  /** Claims a key; posts ClaimWritten. */
  public void claim(AgentEffect.WriteClaim effect) {
    String key = ClaimRowKey.of(effect.key());
    CompletableFuture<ClaimWrite> result =
        effect.fence().value() == 0
            ? claimAt(key, 0, effect)
            : read(key).thenCompose(found -> claimReleased(key, found, effect));
    Calls.deliver(
        result, claim -> events.accept(new AgentEvent.ClaimWritten(effect.attempt(), claim)));
  }

  private CompletableFuture<ClaimWrite> claimReleased(
      String key, Either<PlatformError, Option<TableRow>> found, AgentEffect.WriteClaim effect) {
    if (found.isLeft()) {
      return done(new ClaimWrite.NotWritten());
    }
    if (found.get().isEmpty()) {
      return claimAt(key, 0, effect);
    }
    TableRow present = found.get().get();
    Option<ClaimRow> row = decode(present);
    boolean free =
        row.exists(r -> r.state() == ClaimState.RELEASED && r.fence().equals(effect.fence()));
    return free ? claimAt(key, present.version(), effect) : done(held(row, effect.row()));
  }

  private CompletableFuture<ClaimWrite> claimAt(
      String key, long version, AgentEffect.WriteClaim effect) {
    return write(key, version, effect.row())
        .thenCompose(
            result -> {
              if (result.isLeft()) {
                return result.getLeft() instanceof PlatformError.ResponseLost
                    ? readBack(key, effect)
                    : done(new ClaimWrite.NotWritten());
              }
              if (result.get() instanceof TableWriteResult.Conflict conflict) {
                return done(
                    conflict
                        .currentRow()
                        .map(row -> held(decode(row), effect.row()))
                        .getOrElse(new ClaimWrite.NotWritten()));
              }
              return done(new ClaimWrite.Claimed());
            });
  }

  /** The response of a write was lost; the row tells whether it took effect. */
  private CompletableFuture<ClaimWrite> readBack(String key, AgentEffect.WriteClaim effect) {
    return read(key)
        .thenApply(
            found -> {
              if (found.isLeft() || found.get().isEmpty()) {
                return new ClaimWrite.Unavailable();
              }
              return held(decode(found.get().get()), effect.row());
            });
  }

  /** A row equal to the written one is this attempt's own claim. */
  private static ClaimWrite held(Option<ClaimRow> row, ClaimRow written) {
    if (row.isEmpty()) {
      return new ClaimWrite.Unavailable();
    }
    return row.get().equals(written)
        ? new ClaimWrite.Claimed()
        : new ClaimWrite.HeldByOther(row.get());
  }

  private static CompletableFuture<ClaimWrite> done(ClaimWrite result) {
    return CompletableFuture.completedFuture(result);
  }

  private Option<ClaimRow> decode(TableRow row) {
    return codec
        .decode(row.value().bytes())
        .peekLeft(fault -> LOGGER.log(Level.ERROR, "table row {0}: {1}", row.key(), fault.detail()))
        .toOption();
  }

  /** Writes a final row over the started row of its attempt; posts AnswerStored. */
  public void store(AgentEffect.StoreAnswer effect) {
    String key = ClaimRowKey.of(effect.key());
    Calls.deliver(
        read(key).thenCompose(found -> storeOver(key, found, effect.row())),
        result -> events.accept(new AgentEvent.AnswerStored(effect.attempt(), result)));
  }

  private CompletableFuture<StoreWrite> storeOver(
      String key, Either<PlatformError, Option<TableRow>> found, ClaimRow row) {
    if (found.isLeft()) {
      return CompletableFuture.completedFuture(StoreWrite.FAILED);
    }
    boolean started =
        found
            .get()
            .flatMap(this::decode)
            .exists(
                present ->
                    present.attempt().equals(row.attempt())
                        && present.state() == ClaimState.STARTED);
    if (!started) {
      return CompletableFuture.completedFuture(StoreWrite.DONE);
    }
    return write(key, found.get().get().version(), row)
        .thenApply(
            result ->
                result.exists(write -> write instanceof TableWriteResult.Written)
                    ? StoreWrite.DONE
                    : StoreWrite.FAILED);
  }
}
