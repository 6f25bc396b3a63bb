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
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.PackedStoreVersion;
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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Reads and releases claim rows in the platform's table and posts the results as events. */
public final class ClaimReleaser {
  /** Fence of a row that is released for the first time. */
  private static final Fence INITIAL_RELEASE_FENCE = new Fence(1);

  /** Limits the retries; every write after the first follows a conflict or a lost response. */
  private static final int MAX_WRITE_ATTEMPTS = 4;

  /** Bounds the memory of arrivals; twice the number of requests that an entry holds open. */
  private static final int MAX_ARRIVALS = 8_192;

  private final VmId vm;
  private final Table table;
  private final Consumer<EntryEvent> events;
  private final Logger logger;
  private final ClaimRowCodec codec = new ClaimRowCodec();
  private final Map<RequestId, Long> erasOfArrival = new LinkedHashMap<>();

  /**
   * Creates the releaser.
   *
   * @param vm VM of the entry; recorded as the owner of released rows
   * @param table table of the platform
   * @param events receives the events
   * @param logger receives table errors
   */
  public ClaimReleaser(VmId vm, Table table, Consumer<EntryEvent> events, Logger logger) {
    this.vm = vm;
    this.table = table;
    this.events = events;
    this.logger = logger;
  }

  /** Reads the claim row of a key and posts ClaimRead. */
  public void read(EntryEffect.ReadClaim read) {
    recordArrival(read.request());
    Completions.handle(
        table.read(ClaimRowKey.of(read.key())),
        ClaimReleaser::responseLost,
        result -> events.accept(new EntryEvent.ClaimRead(read.request(), toReadResult(result))));
  }

  private synchronized void recordArrival(RequestId request) {
    erasOfArrival.put(request, presentEra());
    if (erasOfArrival.size() > MAX_ARRIVALS) {
      erasOfArrival.remove(erasOfArrival.keySet().iterator().next());
    }
  }

  /** Tells whether the store may have lost a claim of an attempt of this request. */
  private synchronized boolean mayHaveLostClaim(EntryEffect.ReleaseClaim release) {
    return erasOfArrival.getOrDefault(release.request(), presentEra()) < presentEra();
  }

  private long presentEra() {
    return PackedStoreVersion.era(table.absentVersion());
  }

  private ClaimReadResult toReadResult(Either<PlatformError, Option<TableRow>> result) {
    if (result.isLeft()) {
      logger.log(Level.DEBUG, "reading a claim row failed: {0}", result.getLeft().detail());
      return new ClaimReadResult.Unavailable();
    }
    Option<Either<ClaimRowDecodeError, ClaimRow>> row =
        result.get().map(found -> codec.decode(found.value().bytes()));
    if (row.exists(Either::isLeft)) {
      logger.log(
          Level.ERROR,
          "claim row {0} cannot be decoded: {1}",
          result.get().get().key(),
          row.get().getLeft().detail());
      return new ClaimReadResult.Unavailable();
    }
    return new ClaimReadResult.Answered(row.map(Either::get));
  }

  /**
   * Prevents every attempt up to the given one from executing, and posts ClaimReleaseCompleted. A
   * row that was released for an earlier attempt does not exclude this attempt, which may hold its
   * fence, so the row is written again with a higher fence. If the store came back from a copy
   * since the call arrived, a missing row does not show that the call did not run; the row that is
   * written then says that it started.
   */
  public void release(EntryEffect.ReleaseClaim release) {
    write(release, table.absentVersion(), INITIAL_RELEASE_FENCE, MAX_WRITE_ATTEMPTS);
  }

  private void write(
      EntryEffect.ReleaseClaim release, long expectedVersion, Fence fence, int writesLeft) {
    if (writesLeft == 0) {
      post(release, new ClaimReleaseResult.Unavailable());
      return;
    }
    boolean lost = mayHaveLostClaim(release);
    ClaimRow tombstone =
        new ClaimRow(
            new EndpointId(vm.value()),
            new Incarnation(0),
            release.attempt(),
            release.requestDigest(),
            lost ? ClaimState.STARTED : ClaimState.RELEASED,
            fence,
            Option.none());
    String key = ClaimRowKey.of(release.key());
    Completions.handle(
        table.write(key, expectedVersion, codec.encode(tombstone)),
        ClaimReleaser::responseLost,
        result -> {
          if (result.isLeft() && result.getLeft() instanceof PlatformError.ResponseLost) {
            readBack(release, writesLeft - 1);
          } else if (result.isLeft()) {
            post(release, toUnavailable(result.getLeft()));
          } else if (result.get() instanceof TableWriteResult.Conflict conflict) {
            resolve(release, conflict.currentRow(), writesLeft - 1);
          } else if (lost) {
            logger.log(
                Level.WARNING, "claim {0} may be lost with an era; its outcome is unknown", key);
            post(release, new ClaimReleaseResult.Held(tombstone));
          } else {
            post(release, new ClaimReleaseResult.Released(fence));
          }
        });
  }

  private void readBack(EntryEffect.ReleaseClaim release, int writesLeft) {
    Completions.handle(
        table.read(ClaimRowKey.of(release.key())),
        ClaimReleaser::responseLost,
        result -> {
          if (result.isLeft()) {
            post(release, toUnavailable(result.getLeft()));
          } else {
            resolve(release, result.get(), writesLeft);
          }
        });
  }

  private void resolve(EntryEffect.ReleaseClaim release, Option<TableRow> row, int writesLeft) {
    if (row.isEmpty()) {
      write(release, table.absentVersion(), INITIAL_RELEASE_FENCE, writesLeft);
      return;
    }
    Either<ClaimRowDecodeError, ClaimRow> decoded = codec.decode(row.get().value().bytes());
    if (decoded.isLeft()) {
      logger.log(
          Level.ERROR,
          "claim row {0} cannot be decoded: {1}",
          row.get().key(),
          decoded.getLeft().detail());
      post(release, new ClaimReleaseResult.Unavailable());
      return;
    }
    ClaimRow claim = decoded.get();
    if (claim.state() != ClaimState.RELEASED) {
      post(release, new ClaimReleaseResult.Held(claim));
    } else if (claim.attempt().equals(release.attempt()) && !mayHaveLostClaim(release)) {
      post(release, new ClaimReleaseResult.Released(claim.fence()));
    } else {
      write(release, row.get().version(), new Fence(claim.fence().value() + 1), writesLeft);
    }
  }

  private ClaimReleaseResult toUnavailable(PlatformError error) {
    logger.log(Level.DEBUG, "releasing a claim failed: {0}", error.detail());
    return new ClaimReleaseResult.Unavailable();
  }

  private void post(EntryEffect.ReleaseClaim release, ClaimReleaseResult result) {
    AttemptId attempt = release.attempt();
    events.accept(new EntryEvent.ClaimReleaseCompleted(release.request(), attempt, result));
  }

  private static PlatformError responseLost(Throwable failure) {
    return new PlatformError.ResponseLost("table client threw an exception: " + failure);
  }
}
