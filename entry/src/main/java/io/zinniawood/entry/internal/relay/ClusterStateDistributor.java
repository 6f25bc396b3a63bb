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
import io.zinniawood.entry.internal.link.ConfigurationHolder;
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
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Distributes the VM list and the configuration to the entries of a data centre. An entry that is
 * one of the pollers of its data centre polls both from the platform and passes them on to the
 * other entries. An entry that has received no message from a poller for some poll intervals polls
 * itself. Thread-safe.
 */
public final class ClusterStateDistributor {
  /**
   * Dependencies of the distributor.
   *
   * @param settings settings of the process
   * @param transport transport to other entries
   * @param vmList client of the platform's VM list
   * @param feed source of configuration snapshots
   * @param configuration holder of the newest configuration
   * @param events receives VmListReceived events
   * @param observer receives the service-level counts of other entries
   * @param clockNanos monotonic clock in nanoseconds
   * @param random source of jitter
   * @param logger receives warnings of failed polls
   */
  public record Dependencies(
      EntrySettings settings,
      WireTransport transport,
      VmList vmList,
      ConfigurationFeed feed,
      ConfigurationHolder configuration,
      Consumer<EntryEvent> events,
      EntryObserver observer,
      LongSupplier clockNanos,
      RandomGenerator random,
      Logger logger) {}

  /** Poll intervals without a message from any poller after which this entry polls itself. */
  private static final int SILENCE_POLL_INTERVALS = 3;

  /** Largest random addition to this time, so that entries do not start to poll all at once. */
  private static final int JITTER_POLL_INTERVALS = 2;

  /** Longest time between a failed poll and its retry, in poll intervals. */
  private static final int MAX_BACKOFF_POLL_INTERVALS = 8;

  private final Dependencies dependencies;
  private final EntryPeers peers;
  private final long silentAfterNanos;
  private Option<VmListing> newestVmList = Option.none();
  private long lastPollerMessageNanos;
  private int consecutiveFailures;
  private int skipTicks;
  private boolean pollInProgress;

  /** Creates a distributor without a VM list; the time without poller messages starts now. */
  public ClusterStateDistributor(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.peers = new EntryPeers(dependencies.transport(), new PeerHandler());
    long pollNanos = TimeUnit.MILLISECONDS.toNanos(dependencies.settings().pollMillis());
    this.silentAfterNanos =
        SILENCE_POLL_INTERVALS * pollNanos
            + dependencies.random().nextLong(JITTER_POLL_INTERVALS * pollNanos + 1);
    this.lastPollerMessageNanos = dependencies.clockNanos().getAsLong();
  }

  private final class PeerHandler implements EntryPeers.Handler {
    @Override
    public void onOpened(WireConnection connection) {
      newestVmList().forEach(listing -> connection.send(toSnapshot(listing)));
      connection.send(dependencies.configuration().newRequest());
    }

    @Override
    public void onMessage(WireConnection connection, Message message, Generation peerGeneration) {
      recordPollerMessage(connection);
      if (message instanceof VmListSnapshot list) {
        applyVmList(new VmListing(list.version(), list.vms()));
      } else if (message instanceof ObjectiveCounts counts) {
        dependencies.observer().onObjectiveCounts(counts, connection::send);
      }
      // Also called for the two types above, as their envelope may contain a higher generation.
      dependencies.configuration().handle(connection, message, peerGeneration);
    }
  }

  /** Starts to accept connections from other entries. */
  public Either<WireError, ?> listen() {
    return dependencies.transport().listen(dependencies.settings().peers(), peers.listener());
  }

  /** Updates connections and polls if it is due; call once per poll interval. */
  public void tick() {
    Vector<VmEntry> pollers = pollers();
    peers.updateOutbound(outboundTargets(pollers));
    if (tryStartPoll(pollers)) {
      poll();
    } else if (!isPoller(pollers)) {
      applyConfiguration(
          () -> dependencies.feed().follow(dependencies.configuration().generation()));
    }
    if (isPoller(pollers)) {
      // Shows the other entries that this poller is alive and which generation it has.
      peers.broadcast(dependencies.configuration().newRequest());
    }
  }

  /** Notifies the other entries at once that a new configuration is in use. */
  public void announceConfiguration() {
    peers.broadcast(dependencies.configuration().newRequest());
  }

  /** Sends service-level counts to the first poller, which merges those of the data centre. */
  public void publishObjectiveCounts(ObjectiveCounts counts) {
    Option<VmEntry> first = pollers().headOption();
    boolean remote = first.exists(vm -> !isSelf(vm)) && peers.send(first.get().vm(), counts);
    if (!remote && first.forAll(this::isSelf)) {
      dependencies
          .observer()
          .onObjectiveCounts(
              counts, reply -> dependencies.observer().onObjectiveCounts(reply, unused -> {}));
    }
  }

  private synchronized Option<VmListing> newestVmList() {
    return newestVmList;
  }

  private Vector<VmEntry> pollers() {
    return newestVmList()
        .map(
            listing -> PollerSelection.pollers(listing.vms(), dependencies.settings().dataCentre()))
        .getOrElse(Vector.empty());
  }

  private boolean isSelf(VmEntry vm) {
    return vm.vm().equals(dependencies.settings().vm());
  }

  private boolean isPoller(Vector<VmEntry> pollers) {
    return pollers.exists(this::isSelf);
  }

  // Entries that do not poll connect to both pollers, and the second poller connects to the first,
  // so that there is one connection between any two of these.
  private Vector<VmEntry> outboundTargets(Vector<VmEntry> pollers) {
    return pollers.takeUntil(this::isSelf);
  }

  private synchronized boolean tryStartPoll(Vector<VmEntry> pollers) {
    boolean silent =
        dependencies.clockNanos().getAsLong() - lastPollerMessageNanos > silentAfterNanos;
    if (pollInProgress || !(pollers.isEmpty() || isPoller(pollers) || silent)) {
      return false;
    }
    if (skipTicks > 0) {
      skipTicks--;
      return false;
    }
    pollInProgress = true;
    return true;
  }

  private void poll() {
    Completions.handle(
        () -> dependencies.vmList().read(),
        failure -> new PlatformError.Unavailable("VM list client threw an exception: " + failure),
        result -> {
          completePoll(result);
          result.forEach(this::applyPolledVmList);
        });
    applyConfiguration(() -> dependencies.feed().poll(dependencies.configuration().generation()));
  }

  /** Applies a configuration that the feed has accepted since the last poll, without polling. */
  public void applyPendingConfiguration() {
    applyConfiguration(
        () -> dependencies.feed().newerSnapshot(dependencies.configuration().generation()));
  }

  private void applyConfiguration(
      Supplier<CompletableFuture<Either<String, Option<ConfigurationSnapshot>>>> found) {
    Completions.handle(
        found,
        failure -> "configuration feed threw an exception: " + failure,
        result -> {
          if (result.isLeft()) {
            dependencies
                .logger()
                .log(Level.WARNING, "reading the configuration failed: {0}", result.getLeft());
          } else {
            result.get().forEach(dependencies.configuration()::accept);
          }
        });
  }

  private synchronized void completePoll(Either<PlatformError, VmListing> result) {
    pollInProgress = false;
    if (result.isRight()) {
      consecutiveFailures = 0;
      return;
    }
    consecutiveFailures++;
    skipTicks = Math.min(1 << Math.min(consecutiveFailures, 8), MAX_BACKOFF_POLL_INTERVALS) - 1;
    dependencies
        .logger()
        .log(Level.WARNING, "reading the VM list failed: {0}", result.getLeft().detail());
  }

  private void applyPolledVmList(VmListing listing) {
    if (applyVmList(listing) && isPoller(pollers())) {
      peers.broadcast(toSnapshot(listing));
    }
  }

  private boolean applyVmList(VmListing listing) {
    synchronized (this) {
      if (newestVmList.exists(known -> known.version() >= listing.version())) {
        return false;
      }
      newestVmList = Option.some(listing);
    }
    dependencies.events().accept(new EntryEvent.VmListReceived(listing.version(), listing.vms()));
    return true;
  }

  private void recordPollerMessage(WireConnection connection) {
    if (pollers().exists(vm -> vm.vm().value().equals(connection.peer().nodeId()))) {
      synchronized (this) {
        lastPollerMessageNanos = dependencies.clockNanos().getAsLong();
      }
    }
  }

  private static VmListSnapshot toSnapshot(VmListing listing) {
    return new VmListSnapshot(listing.version(), listing.vms());
  }
}
