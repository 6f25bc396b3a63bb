package io.zinniawood.entry.internal.relay;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import io.zinniawood.core.message.Message.ObjectiveCounts;
import io.zinniawood.core.message.Message.VmListSnapshot;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.entry.ConfigurationFeed;
import io.zinniawood.entry.EntryObserver;
import io.zinniawood.entry.internal.Completions;
import io.zinniawood.entry.internal.link.ConfigurationKeeper;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.VmList;
import io.zinniawood.store.VmListing;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireTransport;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Polls the VM list and the configuration if this entry is one of the pollers of its data centre,
 * and passes both on to the other entries; otherwise receives both from the pollers. An entry whose
 * pollers are silent polls itself. Safe for use by several threads.
 */
public final class EntryRelay {
  /**
   * What the relay works with.
   *
   * @param settings settings of the process
   * @param wire transport to other entries
   * @param vmList the platform's VM list
   * @param feed configurations
   * @param keeper newest configuration
   * @param events takes VmListReceived
   * @param observer learns the service-level counts of other entries
   * @param clockNanos monotonic clock in nanoseconds
   * @param random source of jitter
   * @param logger logger
   */
  public record Parts(
      EntrySettings settings,
      WireTransport wire,
      VmList vmList,
      ConfigurationFeed feed,
      ConfigurationKeeper keeper,
      Consumer<EntryEvent> events,
      EntryObserver observer,
      LongSupplier clockNanos,
      RandomGenerator random,
      Logger logger) {}

  /** Poll intervals without a message of a poller after which it counts as silent. */
  private static final int SILENT_INTERVALS = 3;

  /** Intervals over which entries spread their own polls, so that they do not poll all at once. */
  private static final int JITTER_INTERVALS = 2;

  /** A failed poll is repeated after at most this many intervals. */
  private static final int MAX_BACKOFF_INTERVALS = 8;

  private final Parts parts;
  private final EntryPeers peers;
  private final long silentAfterNanos;
  private Option<VmListing> newest = Option.none();
  private long lastHeardNanos;
  private int failures;
  private int skipTicks;
  private boolean polling;

  /** Creates a relay that has heard nothing. */
  public EntryRelay(Parts parts) {
    this.parts = parts;
    this.peers = new EntryPeers(parts.wire(), new PeerHandler());
    long pollNanos = TimeUnit.MILLISECONDS.toNanos(parts.settings().pollMillis());
    this.silentAfterNanos =
        SILENT_INTERVALS * pollNanos + parts.random().nextLong(JITTER_INTERVALS * pollNanos + 1);
    this.lastHeardNanos = parts.clockNanos().getAsLong();
  }

  private final class PeerHandler implements EntryPeers.Handler {
    @Override
    public void onOpened(WireConnection connection) {
      newest().forEach(listing -> connection.send(snapshot(listing)));
      connection.send(parts.keeper().request());
    }

    @Override
    public void onMessage(WireConnection connection, Message message, Generation peerGeneration) {
      heard(connection);
      if (message instanceof VmListSnapshot list) {
        take(new VmListing(list.version(), list.vms()));
      } else if (message instanceof ObjectiveCounts counts) {
        parts.observer().onObjectiveCounts(counts, connection::send);
      }
      // Also for the two types above, as their envelope may carry a higher generation.
      parts.keeper().handle(connection, message, peerGeneration);
    }
  }

  /** Listens for other entries. */
  public Either<WireError, ?> listen() {
    return parts.wire().listen(parts.settings().peers(), peers.listener());
  }

  /** Does the work of one poll interval. */
  public void tick() {
    Vector<VmEntry> pollers = pollers();
    peers.dial(wanted(pollers));
    if (startsPoll(pollers)) {
      poll();
    } else if (!isPoller(pollers)) {
      takeConfiguration(parts.feed().follow(parts.keeper().generation()));
    }
    if (isPoller(pollers)) {
      // Tells the others that this poller lives and which generation it has.
      peers.broadcast(parts.keeper().request());
    }
  }

  /** Tells the other entries at once that a new configuration is in force. */
  public void announceConfiguration() {
    peers.broadcast(parts.keeper().request());
  }

  /** Passes service-level counts to the entry that merges those of the data centre. */
  public void publish(ObjectiveCounts counts) {
    Option<VmEntry> first = pollers().headOption();
    boolean remote = first.exists(vm -> !isSelf(vm)) && peers.send(first.get().vm(), counts);
    if (!remote && first.forAll(this::isSelf)) {
      parts
          .observer()
          .onObjectiveCounts(
              counts, reply -> parts.observer().onObjectiveCounts(reply, unused -> {}));
    }
  }

  private synchronized Option<VmListing> newest() {
    return newest;
  }

  private Vector<VmEntry> pollers() {
    return newest()
        .map(listing -> PollerChoice.pollers(listing.vms(), parts.settings().dataCentre()))
        .getOrElse(Vector.empty());
  }

  private boolean isSelf(VmEntry vm) {
    return vm.vm().equals(parts.settings().vm());
  }

  private boolean isPoller(Vector<VmEntry> pollers) {
    return pollers.exists(this::isSelf);
  }

  // Followers connect to both pollers and the second poller to the first, so that there is one
  // connection between any two.
  private Vector<VmEntry> wanted(Vector<VmEntry> pollers) {
    return pollers.takeUntil(this::isSelf);
  }

  private synchronized boolean startsPoll(Vector<VmEntry> pollers) {
    boolean silent = parts.clockNanos().getAsLong() - lastHeardNanos > silentAfterNanos;
    if (polling || !(pollers.isEmpty() || isPoller(pollers) || silent)) {
      return false;
    }
    if (skipTicks > 0) {
      skipTicks--;
      return false;
    }
    polling = true;
    return true;
  }

  private void poll() {
    Completions.handle(
        parts.vmList().read(),
        failure -> new PlatformError.Unavailable("the VM list client failed: " + failure),
        result -> {
          pollEnded(result);
          result.forEach(this::takeOwn);
        });
    takeConfiguration(parts.feed().poll(parts.keeper().generation()));
  }

  /** Takes a configuration that the feed has accepted meanwhile, without a poll. */
  public void collectConfiguration() {
    takeConfiguration(parts.feed().newest(parts.keeper().generation()));
  }

  private void takeConfiguration(
      CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> found) {
    Completions.handle(
        found,
        failure -> "the configuration feed failed: " + failure,
        result -> {
          if (result.isLeft()) {
            parts.logger().log(Level.WARNING, "configuration not read: {0}", result.getLeft());
          } else {
            result.get().forEach(parts.keeper()::accept);
          }
        });
  }

  private synchronized void pollEnded(Either<PlatformError, VmListing> result) {
    polling = false;
    if (result.isRight()) {
      failures = 0;
      return;
    }
    failures++;
    skipTicks = Math.min(1 << Math.min(failures, 8), MAX_BACKOFF_INTERVALS) - 1;
    parts.logger().log(Level.WARNING, "VM list not read: {0}", result.getLeft().detail());
  }

  private void takeOwn(VmListing listing) {
    if (take(listing) && isPoller(pollers())) {
      peers.broadcast(snapshot(listing));
    }
  }

  private boolean take(VmListing listing) {
    synchronized (this) {
      if (newest.exists(known -> known.version() >= listing.version())) {
        return false;
      }
      newest = Option.some(listing);
    }
    parts.events().accept(new EntryEvent.VmListReceived(listing.version(), listing.vms()));
    return true;
  }

  private void heard(WireConnection connection) {
    if (pollers().exists(vm -> vm.vm().value().equals(connection.peer().nodeId()))) {
      synchronized (this) {
        lastHeardNanos = parts.clockNanos().getAsLong();
      }
    }
  }

  private static VmListSnapshot snapshot(VmListing listing) {
    return new VmListSnapshot(listing.version(), listing.vms());
  }
}
