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
 * Reads the configuration folder, accepts edits and publishes each accepted configuration.
 * Thread-safe.
 */
public final class ConfigurationSync implements AutoCloseable {
  private final EventLoop<AcceptanceState, AcceptanceEvent, AcceptanceEffect, AcceptanceTimer> loop;
  private final ExecutorService mergeExecutor;

  /**
   * Creates an instance in mode {@code FOLLOWING} that is not started.
   *
   * @param self VM of this entry
   * @param seed seed of jitter and attempt ids; must differ between starts of the same VM
   * @param pollMillis interval between two rounds, in milliseconds, at least 1
   * @param objects store of the configuration folder and the snapshots
   * @param table table that holds the accepted row
   * @param listener receives each configuration of a higher generation on the event loop's thread;
   *     must not block
   * @param notices receives notices for reports and logs on the event loop's thread; must not block
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
    // The handler is set here because events may be posted before start().
    loop.start(effect -> effect.accept(executor));
  }

  /** Reads the accepted configuration and, in mode {@code POLLING}, the folder. */
  public void start() {
    loop.post(new AcceptanceEvent.Started());
  }

  /** Starts a round now, or as soon as the round in progress ends. */
  public void pollNow() {
    loop.post(new AcceptanceEvent.PollRequested());
  }

  /** Adopts the configuration of a peer if its generation is higher than the one in force. */
  public void adoptIfNewer(AcceptedConfiguration peerConfiguration) {
    loop.post(new AcceptanceEvent.NeighbourOffered(peerConfiguration));
  }

  /** Sets whether this entry reads the folder; a change to {@code POLLING} requests a round. */
  public void setPollMode(PollMode mode) {
    loop.post(new AcceptanceEvent.PollModeChanged(mode));
  }

  @Override
  public void close() {
    loop.close();
    mergeExecutor.shutdownNow();
  }
}
