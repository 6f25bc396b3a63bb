package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.lease.LeaseRowCodec;
import java.util.function.Consumer;

/** Reads the fencing number of the controller lease and posts it as an event. */
public final class LeaseReader {
  private static final FencingNumber NEVER_HELD = new FencingNumber(0);

  private final Table table;
  private final Consumer<AgentEvent> events;

  /** Creates a reader that posts its results to the given consumer. */
  public LeaseReader(Table table, Consumer<AgentEvent> events) {
    this.table = table;
    this.events = events;
  }

  /** Reads the lease row; posts {@link AgentEvent.FencingNumberRead}. */
  public void readFencingNumber() {
    GuardedCalls.deliver(
        GuardedCalls.guarded(
            () -> table.read(LeaseRowCodec.ROW_KEY),
            exception -> new PlatformError.ResponseLost(exception.toString())),
        result -> events.accept(new AgentEvent.FencingNumberRead(fencingNumber(result))));
  }

  /**
   * Raises the number to the present era, as the store may have lost the last holders of others.
   */
  private FencingNumber inPresentEra(FencingNumber number) {
    long lowest = PackedStoreVersion.of(PackedStoreVersion.era(table.absentVersion()), 0);
    return new FencingNumber(Math.max(number.value(), lowest));
  }

  private Option<FencingNumber> fencingNumber(Either<PlatformError, Option<TableRow>> result) {
    if (result.isLeft()) {
      return Option.none();
    }
    return result
        .get()
        .map(row -> LeaseRowCodec.fencingNumber(row.value().bytes()))
        .getOrElse(Option.some(NEVER_HELD))
        .map(this::inPresentEra);
  }
}
