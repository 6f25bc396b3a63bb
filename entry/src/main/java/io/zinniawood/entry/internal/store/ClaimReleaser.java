package io.zinniawood.entry.internal.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.entry.ClaimReadResult;
import io.zinniawood.core.entry.ClaimReleaseResult;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.entry.internal.Completions;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import io.zinniawood.store.claim.ClaimRowCodec;
import io.zinniawood.store.claim.ClaimRowDecodeError;
import io.zinniawood.store.claim.ClaimRowKey;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/** Reads claim rows, writes tombstones into them, and posts the results as events. */
public final class ClaimReleaser {
  /** Fence of the attempt after the first release. */
  private static final Fence FIRST_RELEASE = new Fence(1);

  /** Each write after the first follows a conflict or a lost response; bounds the work. */
  private static final int MAX_WRITES = 4;

  private final VmId vm;
  private final Table table;
  private final Consumer<EntryEvent> events;
  private final Logger logger;
  private final ClaimRowCodec codec = new ClaimRowCodec();

  /**
   * Creates the releaser.
   *
   * @param vm the entry's VM, named as the owner of its tombstones
   * @param table the platform's table
   * @param events takes the events
   * @param logger logger
   */
  public ClaimReleaser(VmId vm, Table table, Consumer<EntryEvent> events, Logger logger) {
    this.vm = vm;
    this.table = table;
    this.events = events;
    this.logger = logger;
  }

  /** Reads the row of a key and posts ClaimRead. */
  public void read(EntryEffect.ReadClaim read) {
    Completions.handle(
        table.read(ClaimRowKey.of(read.key())),
        ClaimReleaser::lost,
        result -> events.accept(new EntryEvent.ClaimRead(read.request(), reading(result))));
  }

  private ClaimReadResult reading(Either<PlatformError, Option<TableRow>> result) {
    if (result.isLeft()) {
      logger.log(Level.DEBUG, "claim not read: {0}", result.getLeft().detail());
      return new ClaimReadResult.Unavailable();
    }
    Option<Either<ClaimRowDecodeError, ClaimRow>> row =
        result.get().map(found -> codec.decode(found.value().bytes()));
    if (row.exists(Either::isLeft)) {
      logger.log(
          Level.ERROR,
          "table row {0}: {1}",
          result.get().get().key(),
          row.get().getLeft().detail());
      return new ClaimReadResult.Unavailable();
    }
    return new ClaimReadResult.Answered(row.map(Either::get));
  }

  /**
   * Rules out every attempt up to the given one and posts ClaimResolved. A released row of an
   * earlier attempt does not rule out this one, which may hold its fence; its fence is raised.
   */
  public void release(EntryEffect.ReleaseClaim release) {
    write(release, 0, FIRST_RELEASE, MAX_WRITES);
  }

  private void write(
      EntryEffect.ReleaseClaim release, long expectedVersion, Fence fence, int writesLeft) {
    if (writesLeft == 0) {
      post(release, new ClaimReleaseResult.Unavailable());
      return;
    }
    ClaimRow tombstone =
        new ClaimRow(
            new EndpointId(vm.value()),
            new Incarnation(0),
            release.attempt(),
            release.requestDigest(),
            ClaimState.RELEASED,
            fence,
            Option.none());
    String key = ClaimRowKey.of(release.key());
    Completions.handle(
        table.write(key, expectedVersion, codec.encode(tombstone)),
        ClaimReleaser::lost,
        result -> {
          if (result.isLeft() && result.getLeft() instanceof PlatformError.ResponseLost) {
            readBack(release, writesLeft - 1);
          } else if (result.isLeft()) {
            post(release, unresolved(result.getLeft()));
          } else if (result.get() instanceof TableWriteResult.Conflict conflict) {
            resolve(release, conflict.currentRow(), writesLeft - 1);
          } else {
            post(release, new ClaimReleaseResult.Released(fence));
          }
        });
  }

  private void readBack(EntryEffect.ReleaseClaim release, int writesLeft) {
    Completions.handle(
        table.read(ClaimRowKey.of(release.key())),
        ClaimReleaser::lost,
        result -> {
          if (result.isLeft()) {
            post(release, unresolved(result.getLeft()));
          } else {
            resolve(release, result.get(), writesLeft);
          }
        });
  }

  private void resolve(EntryEffect.ReleaseClaim release, Option<TableRow> row, int writesLeft) {
    if (row.isEmpty()) {
      write(release, 0, FIRST_RELEASE, writesLeft);
      return;
    }
    Either<ClaimRowDecodeError, ClaimRow> decoded = codec.decode(row.get().value().bytes());
    if (decoded.isLeft()) {
      logger.log(Level.ERROR, "table row {0}: {1}", row.get().key(), decoded.getLeft().detail());
      post(release, new ClaimReleaseResult.Unavailable());
      return;
    }
    ClaimRow claim = decoded.get();
    if (claim.state() != ClaimState.RELEASED) {
      post(release, new ClaimReleaseResult.Held(claim));
    } else if (claim.attempt().equals(release.attempt())) {
      post(release, new ClaimReleaseResult.Released(claim.fence()));
    } else {
      write(release, row.get().version(), new Fence(claim.fence().value() + 1), writesLeft);
    }
  }

  private ClaimReleaseResult unresolved(PlatformError error) {
    logger.log(Level.DEBUG, "claim not released: {0}", error.detail());
    return new ClaimReleaseResult.Unavailable();
  }

  private void post(EntryEffect.ReleaseClaim release, ClaimReleaseResult resolution) {
    AttemptId attempt = release.attempt();
    events.accept(new EntryEvent.ClaimReleaseCompleted(release.request(), attempt, resolution));
  }

  private static PlatformError lost(Throwable failure) {
    return new PlatformError.ResponseLost("the table client failed: " + failure);
  }
}
