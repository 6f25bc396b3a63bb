package io.zinniawood.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import java.util.concurrent.CompletableFuture;

/**
 * Reads, accepts and parses configurations for an entry. The returned futures never complete
 * exceptionally; a failure is described in the left value.
 */
public interface ConfigurationFeed extends AutoCloseable {
  /**
   * Reads the configuration folder once, accepts a changed valid merge, and returns the accepted
   * snapshot if its generation is higher than the known one.
   *
   * @param known generation that the entry already has
   * @return the snapshot, none if no newer one is accepted, or a description of the failure
   */
  CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> poll(Generation known);

  /**
   * Switches to following: other entries read the folder until the next call of {@link #poll}.
   * Returns the result of {@link #newerSnapshot}.
   *
   * @param known generation that the entry already has
   */
  default CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> follow(
      Generation known) {
    return newerSnapshot(known);
  }

  /**
   * Returns the latest accepted snapshot in the feed's memory if its generation is higher than the
   * known one. Does not read the folder.
   *
   * @param known generation that the entry already has
   */
  default CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> newerSnapshot(
      Generation known) {
    return CompletableFuture.completedFuture(Either.right(Option.none()));
  }

  /**
   * Sets the task to run when a newer snapshot may be available before the next poll. A feed that
   * cannot detect this never runs the task.
   *
   * @param task must not block
   */
  default void onNewerSnapshot(Runnable task) {}

  /** Parses a snapshot that came from {@link #poll} or from another process. */
  Either<String, AcceptedConfiguration> parse(ConfigurationSnapshot snapshot);

  /** Stops all background work; does nothing by default. */
  @Override
  default void close() {}
}
