package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.model.Payload;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;

/** In-memory table whose reads and writes can be made to fail. */
final class FakeTable implements Table {
  /** Kind of failure of a call. */
  enum Fault {
    /** The call succeeds. */
    NONE,
    /** The table refuses the call and changes nothing. */
    UNAVAILABLE,
    /** The write takes effect, but its response is lost. */
    LOST_AFTER,
    /** The write takes no effect, and its response is lost. */
    LOST_BEFORE
  }

  private final ConcurrentHashMap<String, TableRow> rows = new ConcurrentHashMap<>();
  private final List<LongConsumer> eraListeners = new ArrayList<>();
  private long era;
  private boolean eraSeen = true;
  private boolean restoresWithNextWrite;
  private volatile Fault writeFault = Fault.NONE;
  private volatile Fault readFault = Fault.NONE;

  /** Comes back without any row; clients learn of the new era at once. */
  void restoreEmpty() {
    restoreUnseen();
    showEra();
  }

  /** Comes back without any row; clients learn of the new era with the next call. */
  void restoreUnseen() {
    rows.clear();
    era++;
    eraSeen = false;
  }

  /** Comes back without any row when the next write arrives. */
  void restoreWithNextWrite() {
    restoresWithNextWrite = true;
  }

  boolean isEmpty() {
    return rows.isEmpty();
  }

  private void showEra() {
    if (!eraSeen) {
      eraSeen = true;
      eraListeners.forEach(listener -> listener.accept(era));
    }
  }

  @Override
  public long absentVersion() {
    return PackedStoreVersion.of(era, 0);
  }

  @Override
  public void onNewerEra(LongConsumer listener) {
    eraListeners.add(listener);
  }

  /** Sets how all further writes fail. */
  void failWrites(Fault fault) {
    writeFault = fault;
  }

  /** Sets how all further reads fail. */
  void failReads(Fault fault) {
    readFault = fault;
  }

  @Override
  public CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
    showEra();
    return CompletableFuture.completedFuture(
        readFault == Fault.NONE
            ? Either.right(Option.of(rows.get(key)))
            : Either.left(new PlatformError.Unavailable("down")));
  }

  @Override
  public CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, byte[] value) {
    if (writeFault == Fault.UNAVAILABLE) {
      return failed(new PlatformError.Unavailable("down"));
    }
    if (writeFault == Fault.LOST_BEFORE) {
      return failed(new PlatformError.ResponseLost("lost"));
    }
    if (restoresWithNextWrite) {
      restoresWithNextWrite = false;
      restoreUnseen();
      rows.put(key, new TableRow(key, PackedStoreVersion.of(era, 1), Payload.wrap(value)));
      showEra();
      return failed(new PlatformError.ResponseLost("written in another era"));
    }
    showEra();
    TableRow current = rows.get(key);
    long version = current == null ? absentVersion() : current.version();
    if (version != expectedVersion) {
      return CompletableFuture.completedFuture(
          Either.right(new TableWriteResult.Conflict(Option.of(current))));
    }
    rows.put(key, new TableRow(key, version + 1, Payload.wrap(value)));
    return writeFault == Fault.LOST_AFTER
        ? failed(new PlatformError.ResponseLost("lost"))
        : CompletableFuture.completedFuture(
            Either.right(new TableWriteResult.Written(version + 1)));
  }

  private static CompletableFuture<Either<PlatformError, TableWriteResult>> failed(
      PlatformError error) {
    return CompletableFuture.completedFuture(Either.left(error));
  }
}
