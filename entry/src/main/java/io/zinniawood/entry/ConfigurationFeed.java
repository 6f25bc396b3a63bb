package io.zinniawood.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import java.util.concurrent.CompletableFuture;

/** Reads, accepts and parses configurations for an entry. Futures complete normally. */
public interface ConfigurationFeed {
  /**
   * Reads the configuration folder once, accepts a changed valid merge, and returns the accepted
   * snapshot if its generation is higher than the known one.
   *
   * @param known generation that the entry has
   * @return the snapshot, none if nothing newer is accepted, or an explanation of the failure
   */
  CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> poll(Generation known);

  /**
   * Returns the accepted snapshot if its generation is higher than the known one, without a reading
   * of the folder; called instead of {@link #poll} while other entries read it.
   *
   * @param known generation that the entry has
   */
  default CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> follow(
      Generation known) {
    return CompletableFuture.completedFuture(Either.right(Option.none()));
  }

  /** Parses a snapshot that came from {@link #poll} or from a neighbour. */
  Either<String, AcceptedConfiguration> parse(ConfigurationSnapshot snapshot);
}
