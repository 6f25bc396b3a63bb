package io.zinniawood.entry;

import com.codahale.metrics.MetricRegistry;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.store.Table;
import io.zinniawood.store.VmList;
import io.zinniawood.wire.WireTransport;
import java.lang.System.Logger;
import java.util.function.LongSupplier;

/**
 * Dependencies of an entry process.
 *
 * @param <S> state of the reducer
 * @param settings settings of the process
 * @param transport transport to agents and other entries; the process closes it
 * @param generation generation that the transport adds to each message; raised by the process
 * @param table the platform's table
 * @param vmList the platform's VM list
 * @param configuration source of configurations; the process closes it
 * @param reducer computes the next state and the effects of each event
 * @param initialState state of the reducer before the first event
 * @param observer receives results and incidents
 * @param reports report pages of the admin port
 * @param metrics metric registry of the process
 * @param clockNanos monotonic clock in nanoseconds
 * @param logger logger of the process
 */
public record EntryDependencies<S>(
    EntrySettings settings,
    WireTransport transport,
    CurrentGeneration generation,
    Table table,
    VmList vmList,
    ConfigurationFeed configuration,
    Reducer<S, EntryEvent, EntryEffect> reducer,
    S initialState,
    EntryObserver observer,
    ReportSource reports,
    MetricRegistry metrics,
    LongSupplier clockNanos,
    Logger logger) {
  /** Creates dependencies without observer and reports, with a new metric registry. */
  public EntryDependencies(
      EntrySettings settings,
      WireTransport transport,
      CurrentGeneration generation,
      Table table,
      VmList vmList,
      ConfigurationFeed configuration,
      Reducer<S, EntryEvent, EntryEffect> reducer,
      S initialState,
      LongSupplier clockNanos,
      Logger logger) {
    this(
        settings,
        transport,
        generation,
        table,
        vmList,
        configuration,
        reducer,
        initialState,
        EntryObserver.none(),
        ReportSource.none(),
        new MetricRegistry(),
        clockNanos,
        logger);
  }
}
