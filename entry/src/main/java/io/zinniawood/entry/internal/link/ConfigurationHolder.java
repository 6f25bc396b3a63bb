package io.zinniawood.entry.internal.link;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import io.zinniawood.entry.ConfigurationFeed;
import io.zinniawood.entry.CurrentGeneration;
import io.zinniawood.wire.WireConnection;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Holds the newest accepted configuration snapshot. Sends it to peers that request it and requests
 * a newer one from peers that have it. Thread-safe.
 */
public final class ConfigurationHolder implements PeerMessageHandler {
  /** Prevents repeated requests for the same snapshot during a burst of messages from a peer. */
  private static final long MIN_REQUEST_INTERVAL_NANOS = 500_000_000;

  private final ConfigurationFeed feed;
  private final CurrentGeneration generation;
  private final Consumer<AcceptedConfiguration> onAccepted;
  private final BiConsumer<String, Generation> onPeerGeneration;
  private final LongSupplier clockNanos;
  private final Logger logger;
  private Option<ConfigurationSnapshot> newest = Option.none();
  private Option<Long> lastRequestNanos = Option.none();

  /**
   * Creates a holder without a snapshot.
   *
   * @param feed parses snapshots
   * @param generation generation in use; raised with each accepted snapshot
   * @param onAccepted receives each newer configuration, in order of generation
   * @param onPeerGeneration receives the node id and generation of the sender of each message
   * @param clockNanos monotonic clock in nanoseconds
   * @param logger receives errors of invalid snapshots
   */
  public ConfigurationHolder(
      ConfigurationFeed feed,
      CurrentGeneration generation,
      Consumer<AcceptedConfiguration> onAccepted,
      BiConsumer<String, Generation> onPeerGeneration,
      LongSupplier clockNanos,
      Logger logger) {
    this.feed = feed;
    this.generation = generation;
    this.onAccepted = onAccepted;
    this.onPeerGeneration = onPeerGeneration;
    this.clockNanos = clockNanos;
    this.logger = logger;
  }

  /** Applies a snapshot if it is newer and valid; returns whether it was applied. */
  public synchronized boolean accept(ConfigurationSnapshot snapshot) {
    if (snapshot.generation().compareTo(generation.get()) <= 0) {
      return false;
    }
    Either<String, AcceptedConfiguration> parsed = feed.parse(snapshot);
    if (parsed.isLeft()) {
      logger.log(
          Level.ERROR,
          "configuration snapshot of generation {0} is invalid: {1}",
          snapshot.generation(),
          parsed.getLeft());
      return false;
    }
    newest = Option.some(snapshot);
    generation.raiseTo(snapshot.generation());
    onAccepted.accept(parsed.get());
    return true;
  }

  /** Returns the newest accepted snapshot. */
  public synchronized Option<ConfigurationSnapshot> newest() {
    return newest;
  }

  /** Returns the generation in use. */
  public Generation generation() {
    return generation.get();
  }

  /** Returns a message that requests a newer snapshot and contains the generation in use. */
  public Message.ConfigurationRequest newRequest() {
    return new Message.ConfigurationRequest(generation.get());
  }

  @Override
  public boolean handle(WireConnection sender, Message message, Generation peerGeneration) {
    onPeerGeneration.accept(sender.peer().nodeId(), peerGeneration);
    if (message instanceof ConfigurationSnapshot snapshot) {
      accept(snapshot);
      return true;
    }
    if (message instanceof Message.ConfigurationRequest request) {
      newest()
          .filter(snapshot -> snapshot.generation().compareTo(request.known()) > 0)
          .forEach(sender::send);
    }
    if (shouldRequest(peerGeneration)) {
      sender.send(newRequest());
    }
    return message instanceof Message.ConfigurationRequest;
  }

  private synchronized boolean shouldRequest(Generation peerGeneration) {
    if (peerGeneration.compareTo(generation.get()) <= 0) {
      return false;
    }
    long nowNanos = clockNanos.getAsLong();
    if (lastRequestNanos.exists(last -> nowNanos - last < MIN_REQUEST_INTERVAL_NANOS)) {
      return false;
    }
    lastRequestNanos = Option.some(nowNanos);
    return true;
  }
}
