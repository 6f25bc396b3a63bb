package io.zinniawood.entry.acceptance;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.CodecError;
import io.zinniawood.config.ConfigurationCodec;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.PollMode;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import io.zinniawood.entry.ConfigurationFeed;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.Table;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Feed of an entry that accepts edits with a {@link ConfigurationSync}. */
public final class SyncedFeed implements ConfigurationFeed {
  private final ConfigurationSync sync;
  private final AtomicReference<Option<AcceptedConfiguration>> latest =
      new AtomicReference<>(Option.none());
  private final AtomicReference<PollMode> ownReading = new AtomicReference<>(PollMode.FOLLOWING);
  private final AtomicReference<Runnable> onNewer = new AtomicReference<>(() -> {});

  /**
   * Creates and starts a feed.
   *
   * @param settings settings of the entry
   * @param seed seed of jitter and attempt ids; must differ between two starts of one VM
   * @param objects object store
   * @param table table
   * @param notices receives observations for reports and logs; must not block
   */
  public SyncedFeed(
      EntrySettings settings,
      long seed,
      ObjectStore objects,
      Table table,
      Consumer<AcceptanceNotice> notices) {
    this.sync =
        new ConfigurationSync(
            settings.vm(), seed, settings.pollMillis(), objects, table, this::publish, notices);
    sync.start();
  }

  private void publish(AcceptedConfiguration accepted) {
    latest.set(Option.some(accepted));
    onNewer.get().run();
  }

  @Override
  public void onNewerSnapshot(Runnable task) {
    onNewer.set(task);
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> poll(Generation known) {
    sync.setPolling(PollMode.POLLING);
    return newerSnapshot(known);
  }

  /**
   * Sets whether this entry reads the folder even if others read it too, for example because it
   * publishes rejected edits. {@code FOLLOWING}, the mode at the start, lets the relay decide.
   */
  public void setOwnReading(PollMode mode) {
    ownReading.set(mode);
    if (mode == PollMode.POLLING) {
      sync.setPolling(mode);
    }
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> follow(Generation known) {
    sync.setPolling(ownReading.get());
    return newerSnapshot(known);
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> newerSnapshot(
      Generation known) {
    Option<AcceptedConfiguration> newer =
        latest.get().filter(accepted -> accepted.generation().compareTo(known) > 0);
    return CompletableFuture.completedFuture(
        newer.isEmpty() ? Either.right(Option.none()) : snapshot(newer.get()).map(Option::some));
  }

  private static Either<String, ConfigurationSnapshot> snapshot(AcceptedConfiguration accepted) {
    return ConfigurationCodec.encode(accepted)
        .bimap(
            CodecError::detail, bytes -> new ConfigurationSnapshot(accepted.generation(), bytes));
  }

  @Override
  public Either<String, AcceptedConfiguration> parse(ConfigurationSnapshot snapshot) {
    Either<String, AcceptedConfiguration> parsed =
        ConfigurationCodec.decode(snapshot.snapshot()).mapLeft(CodecError::detail);
    parsed.forEach(sync::offer);
    return parsed;
  }

  @Override
  public void close() {
    sync.close();
  }
}
