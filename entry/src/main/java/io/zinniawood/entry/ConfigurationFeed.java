package io.zinniawood.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import java.util.concurrent.CompletableFuture;

/** Reads, accepts and parses configurations for an entry. Futures complete normally. */
public interface ConfigurationFeed extends AutoCloseable {
  /**
   * Reads the configuration folder once, accepts a changed valid merge, and returns the accepted
   * snapshot if its generation is higher than the known one.
   *
   * @param known generation that the entry has
   * @return the snapshot, none if nothing newer is accepted, or an explanation of the failure
   */
  CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> poll(Generation known);

  /**
   * Tells that other entries read the folder from now on; the next {@link #poll} ends this. Returns
   * {@link #newerSnapshot}.
   *
   * @param known generation that the entry has
   */
  default CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> follow(
      Generation known) {
    return newerSnapshot(known);
  }

  /**
   * Returns the accepted snapshot that the feed knows if its generation is higher than the known
   * one, without a reading of the folder.
   *
   * @param known generation that the entry has
   */
  default CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> newerSnapshot(
      Generation known) {
    return CompletableFuture.completedFuture(Either.right(Option.none()));
  }

  /**
   * Sets what to run when a newer snapshot may be ready before the next poll; a feed that does not
   * know this never runs it.
   *
   * @param task does not block
   */
  default void onNewerSnapshot(Runnable task) {}

  /** Parses a snapshot that came from {@link #poll} or from a neighbour. */
  Either<String, AcceptedConfiguration> parse(ConfigurationSnapshot snapshot);

  /** Ends all work; does nothing by default. */
  @Override
  default void close() {}
}
