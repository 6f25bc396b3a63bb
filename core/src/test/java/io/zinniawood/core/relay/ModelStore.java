package io.zinniawood.core.relay;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** In-memory model of the platform's store that can come back from a copy in a new era. */
final class ModelStore {
  private static final int MAX_COPIES = 4_000;

  private final Deque<Copy> copies = new ArrayDeque<>();
  private Content content = new Content();
  private long era;
  boolean down;

  private record Copy(long nanos, Content content) {}

  private static final class Content {
    long number = 1;
    long routesVersion = 1;
    long routesNumber = 1;
    Option<LeaseRow> lease = Option.none();
    long leaseNumber;
    Map<EndpointId, FleetEndpoint> endpoints = new HashMap<>();
    Map<EndpointId, Long> removedNumbers = new HashMap<>();
    Map<VmId, PresenceRow> presences = new HashMap<>();

    Content copy() {
      Content copy = new Content();
      copy.number = number;
      copy.routesVersion = routesVersion;
      copy.routesNumber = routesNumber;
      copy.lease = lease;
      copy.leaseNumber = leaseNumber;
      copy.endpoints = new HashMap<>(endpoints);
      copy.removedNumbers = new HashMap<>(removedNumbers);
      copy.presences = new HashMap<>(presences);
      return copy;
    }
  }

  private StoreVersion version(long number) {
    return new StoreVersion(new StoreEra(era), number);
  }

  private long next(long nowNanos) {
    copies.addLast(new Copy(nowNanos, content.copy()));
    if (copies.size() > MAX_COPIES) {
      copies.removeFirst();
    }
    return ++content.number;
  }

  /** Comes back from the newest copy that is at least so old. */
  void restore(long atNanos) {
    while (copies.size() > 1 && copies.getLast().nanos() > atNanos) {
      copies.removeLast();
    }
    content = copies.getLast().content().copy();
    era++;
  }

  long routesVersion() {
    return content.routesVersion;
  }

  void writeRoutes(long version, long nowNanos) {
    content.routesNumber = next(nowNanos);
    content.routesVersion = version;
  }

  void writeEndpoint(FleetEndpoint endpoint, long nowNanos) {
    StoreVersion written = version(next(nowNanos));
    content.removedNumbers.remove(endpoint.id());
    content.endpoints.put(endpoint.id(), endpoint.withRowVersion(written));
  }

  void removeEndpoint(EndpointId id, long nowNanos) {
    if (content.endpoints.remove(id) != null) {
      content.removedNumbers.put(id, next(nowNanos));
    }
  }

  /** Returns the version of the store. */
  StoreVersion version() {
    return version(content.number);
  }

  Optional<FleetEndpoint> endpoint(EndpointId id) {
    return Optional.ofNullable(content.endpoints.get(id));
  }

  /** Returns the number of the version that removed an entry, or 0 if none did or it is listed. */
  long removedNumber(EndpointId id) {
    return content.removedNumbers.getOrDefault(id, 0L);
  }

  List<EndpointId> listed() {
    return List.copyOf(content.endpoints.keySet());
  }

  void writePresence(RelayEffect.WritePresence write, long nowNanos) {
    content.presences.put(
        write.vm(), new PresenceRow(version(next(nowNanos)), write.peerAddress()));
  }

  RelayEvent list(long millis) {
    List<FleetEndpoint> rows =
        content.endpoints.values().stream()
            .map(row -> row.withRowVersion(version(row.rowVersion().number())))
            .toList();
    return new RelayEvent.EndpointsListed(rows, version(content.number), millis);
  }

  RelayEvent changes(StoreVersion after, long millis) {
    if (after.number() > content.number) {
      return new RelayEvent.EndpointsReadFailed(StoreReadFailure.HISTORY_GONE);
    }
    List<FleetEndpoint> changed = new ArrayList<>();
    for (FleetEndpoint row : content.endpoints.values()) {
      if (row.rowVersion().number() > after.number()) {
        changed.add(row.withRowVersion(version(row.rowVersion().number())));
      }
    }
    changed.sort(Comparator.comparing(row -> row.rowVersion().number()));
    List<RemovedEntry> removed = new ArrayList<>();
    content.removedNumbers.forEach(
        (id, number) -> {
          if (number > after.number()) {
            removed.add(new RemovedEntry(id, version(number)));
          }
        });
    return new RelayEvent.EndpointsChanged(
        changed, removed, after, version(content.number), millis);
  }

  RelayEvent routes(Optional<StoreVersion> after) {
    if (after.isPresent() && after.get().number() > content.number) {
      return new RelayEvent.RoutesReadFailed(StoreReadFailure.HISTORY_GONE);
    }
    boolean changed = after.filter(known -> content.routesNumber <= known.number()).isEmpty();
    return new RelayEvent.RoutesAnswered(
        changed ? Optional.of(RelayHarness.routes(content.routesVersion)) : Optional.empty(),
        version(content.number));
  }

  private RelayEvent lease() {
    return new RelayEvent.LeaseRead(content.lease, version(content.leaseNumber));
  }

  void readLease(Consumer<RelayEvent> receiver) {
    receiver.accept(lease());
    Map<VmId, PresenceRow> rows = new HashMap<>();
    content.presences.forEach(
        (vm, row) ->
            rows.put(vm, new PresenceRow(version(row.version().number()), row.peerAddress())));
    receiver.accept(new RelayEvent.PresencesRead(rows));
  }

  RelayEvent writeLease(RelayEffect.WriteLease write, long nowNanos) {
    if (Math.max(0, write.expectedVersion()) == content.leaseNumber) {
      content.leaseNumber = next(nowNanos);
      content.lease = Option.some(write.row());
    }
    return lease();
  }
}
