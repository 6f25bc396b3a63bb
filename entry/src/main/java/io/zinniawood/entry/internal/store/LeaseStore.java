package io.zinniawood.entry.internal.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.entry.internal.Completions;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import io.zinniawood.store.lease.LeaseRowCodec;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/** Reads and writes the controller lease row and posts the results as events. */
public final class LeaseStore {
  private static final String KEY = LeaseRowCodec.ROW_KEY;

  private final Table table;
  private final Consumer<EntryEvent> events;
  private final Logger logger;

  /**
   * Creates the store.
   *
   * @param table table of the platform
   * @param events receives the events
   * @param logger receives table errors
   */
  public LeaseStore(Table table, Consumer<EntryEvent> events, Logger logger) {
    this.table = table;
    this.events = events;
    this.logger = logger;
  }

  /** Reads the lease; posts LeaseRead or LeaseUnavailable. */
  public void read() {
    Completions.handle(
        table.read(KEY),
        LeaseStore::responseLost,
        result -> events.accept(result.fold(this::unavailable, this::rowEvent)));
  }

  /**
   * Writes the lease if the row has the expected version, and posts the resulting row or
   * LeaseUnavailable. If the response is lost, the row is read: the reducer compares its holder and
   * renewal count, so it detects a write that took effect.
   */
  public void write(long expectedVersion, LeaseRow row) {
    Completions.handle(
        table.write(KEY, expectedVersion, LeaseRowCodec.encode(row)),
        LeaseStore::responseLost,
        result -> {
          if (result.isLeft() && result.getLeft() instanceof PlatformError.ResponseLost) {
            read();
          } else {
            events.accept(result.fold(this::unavailable, outcome -> writeEvent(outcome, row)));
          }
        });
  }

  private EntryEvent writeEvent(TableWriteResult outcome, LeaseRow row) {
    if (outcome instanceof TableWriteResult.Written written) {
      return new EntryEvent.LeaseRead(Option.some(row), written.version());
    }
    return rowEvent(((TableWriteResult.Conflict) outcome).currentRow());
  }

  private EntryEvent rowEvent(Option<TableRow> row) {
    if (row.isEmpty()) {
      return new EntryEvent.LeaseRead(Option.none(), table.absentVersion());
    }
    Either<String, LeaseRow> decoded = LeaseRowCodec.decode(row.get().value().bytes());
    if (decoded.isLeft()) {
      logger.log(Level.ERROR, "lease row {0} cannot be decoded: {1}", KEY, decoded.getLeft());
      return new EntryEvent.LeaseUnavailable();
    }
    return new EntryEvent.LeaseRead(Option.some(decoded.get()), row.get().version());
  }

  private EntryEvent unavailable(PlatformError error) {
    logger.log(Level.DEBUG, "access to lease row {0} failed: {1}", KEY, error.detail());
    return new EntryEvent.LeaseUnavailable();
  }

  private static PlatformError responseLost(Throwable failure) {
    return new PlatformError.ResponseLost("table client threw an exception: " + failure);
  }
}
