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

/**
 * Configuration feed that reads the object store and the table with a {@link ConfigurationSync}.
 */
public final class StoreConfigurationFeed implements ConfigurationFeed {
  private final ConfigurationSync sync;
  private final AtomicReference<Option<AcceptedConfiguration>> latestAccepted =
      new AtomicReference<>(Option.none());
  private final AtomicReference<PollMode> localPollMode = new AtomicReference<>(PollMode.FOLLOWING);
  private final AtomicReference<Runnable> onNewer = new AtomicReference<>(() -> {});

  /**
   * Creates and starts a feed.
   *
   * @param settings settings of the entry
   * @param seed seed of jitter and attempt ids; must differ between starts of the same VM
   * @param objects store of the configuration folder and the snapshots
   * @param table table that holds the accepted row
   * @param notices receives notices for reports and logs; must not block
   */
  public StoreConfigurationFeed(
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
    latestAccepted.set(Option.some(accepted));
    onNewer.get().run();
  }

  @Override
  public void onNewerSnapshot(Runnable task) {
    onNewer.set(task);
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> poll(Generation known) {
    sync.setPollMode(PollMode.POLLING);
    return newerSnapshot(known);
  }

  /**
   * Sets whether this entry reads the folder even while {@link #follow} is called, for example
   * because it publishes the report on rejected edits. With {@code FOLLOWING}, the initial mode,
   * only the calls of {@link #poll} and {@link #follow} decide.
   */
  public void setLocalPollMode(PollMode mode) {
    localPollMode.set(mode);
    if (mode == PollMode.POLLING) {
      sync.setPollMode(mode);
    }
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> follow(Generation known) {
    sync.setPollMode(localPollMode.get());
    return newerSnapshot(known);
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> newerSnapshot(
      Generation known) {
    Option<AcceptedConfiguration> newer =
        latestAccepted.get().filter(accepted -> accepted.generation().compareTo(known) > 0);
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
    parsed.forEach(sync::adoptIfNewer);
    return parsed;
  }

  @Override
  public void close() {
    sync.close();
  }
}
