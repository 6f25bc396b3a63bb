package io.zinniawood.entry.acceptance;

import io.zinniawood.core.acceptance.AcceptanceEffect;
import io.zinniawood.core.acceptance.AcceptanceEvent;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.AcceptanceReducer;
import io.zinniawood.core.acceptance.AcceptanceState;
import io.zinniawood.core.acceptance.AcceptanceTimer;
import io.zinniawood.core.acceptance.PollMode;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.VmId;
import io.zinniawood.runtime.EventLoop;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.Table;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the configuration folder, accepts edits and follows the accepted configuration. All methods
 * may be called from any thread.
 */
public final class ConfigurationSync implements AutoCloseable {
  private final EventLoop<AcceptanceState, AcceptanceEvent, AcceptanceEffect, AcceptanceTimer> loop;
  private final ExecutorService mergeExecutor;

  /**
   * Creates a synchronisation that is not started.
   *
   * @param self VM of this entry
   * @param seed seed of jitter and attempt ids; must differ between two starts of one VM
   * @param pollMillis interval between two readings of the folder, in milliseconds
   * @param objects object store
   * @param table table
   * @param listener receives each configuration of a higher generation on the loop's thread; must
   *     not block
   * @param notices receives observations for reports and logs on the loop's thread; must not block
   */
  public ConfigurationSync(
      VmId self,
      long seed,
      long pollMillis,
      ObjectStore objects,
      Table table,
      Consumer<AcceptedConfiguration> listener,
      Consumer<AcceptanceNotice> notices) {
    if (pollMillis < 1) {
      throw new IllegalArgumentException("pollMillis must be at least 1, but is " + pollMillis);
    }
    this.loop =
        new EventLoop<>(
            "configuration",
            AcceptanceState.initial(self, seed)
                .withPollIntervalNanos(TimeUnit.MILLISECONDS.toNanos(pollMillis)),
            new AcceptanceReducer(),
            System::nanoTime);
    this.mergeExecutor =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "configuration-merge");
              thread.setDaemon(true);
              return thread;
            });
    AcceptanceExecutor executor =
        new AcceptanceExecutor(loop, mergeExecutor, objects, table, listener, notices);
    // Set here, so that events which are posted before the start are handled too.
    loop.start(effect -> effect.accept(executor));
  }

  /** Reads the accepted configuration and, if the mode is polling, the folder. */
  public void start() {
    loop.post(new AcceptanceEvent.Started());
  }

  /** Starts a round now, or another one after the round in progress. */
  public void pollNow() {
    loop.post(new AcceptanceEvent.PollRequested());
  }

  /** Takes over the configuration of a neighbour if its generation is higher. */
  public void adoptIfNewer(AcceptedConfiguration fromNeighbour) {
    loop.post(new AcceptanceEvent.NeighbourOffered(fromNeighbour));
  }

  /** Sets whether this entry reads the folder; following at the start. */
  public void setPollMode(PollMode mode) {
    loop.post(new AcceptanceEvent.PollModeChanged(mode));
  }

  @Override
  public void close() {
    loop.close();
    mergeExecutor.shutdownNow();
  }
}
