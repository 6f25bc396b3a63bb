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
 * What an entry process works with.
 *
 * @param <S> state of the reducer
 * @param settings settings of the process
 * @param wire transport to agents and other entries; the process closes it
 * @param generation generation that the wire stamps on messages; raised by the process
 * @param table the platform's table
 * @param vmList the platform's VM list
 * @param configuration reads and parses configurations; the process closes it
 * @param reducer decisions
 * @param initialState state before the first event
 * @param observer learns results and incidents
 * @param reports report pages of the operators' port
 * @param metrics registry of the process
 * @param clockNanos monotonic clock in nanoseconds
 * @param logger logger of the process
 */
public record EntryDependencies<S>(
    EntrySettings settings,
    WireTransport wire,
    GenerationCell generation,
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
  /** Creates dependencies without reports, with a registry of their own. */
  public EntryDependencies(
      EntrySettings settings,
      WireTransport wire,
      GenerationCell generation,
      Table table,
      VmList vmList,
      ConfigurationFeed configuration,
      Reducer<S, EntryEvent, EntryEffect> reducer,
      S initialState,
      LongSupplier clockNanos,
      Logger logger) {
    this(
        settings,
        wire,
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
