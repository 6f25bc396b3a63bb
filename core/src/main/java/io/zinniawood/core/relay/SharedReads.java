package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Divides a read of the endpoint list into messages that fit into a packet. Each message holds
 * everything that its range of versions changed, additions as well as removals, so a receiver that
 * has read further itself may leave out any message that ends before its own version.
 */
final class SharedReads {
  /** Maximum size of the entries of a message; a packet of 1,400 bytes holds other fields too. */
  private static final int MAX_ENTRIES_BYTES = 1_200;

  // Sizes of encoded entries without their texts.
  private static final int CHANGED_BYTES = 60;

  private static final int HEARTBEAT_BYTES = 20;
  private static final int REMOVED_BYTES = 3;

  private SharedReads() {}

  /** Entries of a message, or what one version of the store changed. */
  private static final class Entries {
    final List<FleetEndpoint> changed = new ArrayList<>();
    final List<SharedRead.Heartbeat> heartbeats = new ArrayList<>();
    final List<EndpointId> removed = new ArrayList<>();
    int bytes;

    void addChanged(FleetEndpoint entry) {
      changed.add(entry);
      bytes +=
          CHANGED_BYTES
              + utf8Bytes(entry.id().value())
              + utf8Bytes(entry.service().value())
              + utf8Bytes(entry.address().host())
              + utf8Bytes(entry.dataCentre().value())
              + entry.accelerator().map(kind -> utf8Bytes(kind.value())).orElse(0);
    }

    void addHeartbeat(FleetEndpoint entry) {
      heartbeats.add(
          new SharedRead.Heartbeat(
              entry.id(), entry.sequence(), entry.rowVersion(), entry.contentHash()));
      bytes += HEARTBEAT_BYTES + utf8Bytes(entry.id().value());
    }

    void addRemoved(EndpointId id) {
      removed.add(id);
      bytes += REMOVED_BYTES + utf8Bytes(id.value());
    }

    void addAll(Entries other) {
      changed.addAll(other.changed);
      heartbeats.addAll(other.heartbeats);
      removed.addAll(other.removed);
      bytes += other.bytes;
    }
  }

  private static int utf8Bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  /**
   * Returns the messages for a read, in the order of their versions; at least one.
   *
   * @param after version after which the messages begin; entries up to it are left out
   * @param onlyCheckIn whether an entry differs from the known one only by its check-in
   */
  static List<SharedRead> split(
      RelayEvent.EndpointsChanged read, StoreVersion after, Predicate<FleetEndpoint> onlyCheckIn) {
    List<SharedRead> messages = new ArrayList<>();
    StoreVersion begin = after;
    Entries message = new Entries();
    for (Map.Entry<Long, Entries> step : entriesByVersion(read, after, onlyCheckIn).entrySet()) {
      if (message.bytes > 0 && message.bytes + step.getValue().bytes > MAX_ENTRIES_BYTES) {
        StoreVersion end = read.version().withNumber(step.getKey() - 1);
        messages.add(message(begin, end, read.storeMillis(), message));
        begin = end;
        message = new Entries();
      }
      message.addAll(step.getValue());
    }
    messages.add(message(begin, read.version(), read.storeMillis(), message));
    return messages;
  }

  private static SharedRead message(
      StoreVersion after, StoreVersion version, long storeMillis, Entries entries) {
    return new SharedRead(
        after, version, storeMillis, entries.changed, entries.heartbeats, entries.removed);
  }

  private static SortedMap<Long, Entries> entriesByVersion(
      RelayEvent.EndpointsChanged read, StoreVersion after, Predicate<FleetEndpoint> onlyCheckIn) {
    SortedMap<Long, Entries> entries = new TreeMap<>();
    for (FleetEndpoint entry : read.changed()) {
      if (entry.rowVersion().isAfter(after)) {
        Entries step = step(entries, entry.rowVersion(), read.version());
        if (onlyCheckIn.test(entry)) {
          step.addHeartbeat(entry);
        } else {
          step.addChanged(entry);
        }
      }
    }
    for (RemovedEntry entry : read.removed()) {
      boolean inRange = entry.rowVersion().sameEra(after) && entry.rowVersion().isAfter(after);
      // A removal of unknown version belongs to the last message, which nobody may leave out.
      step(entries, inRange ? entry.rowVersion() : read.version(), read.version())
          .addRemoved(entry.id());
    }
    return entries;
  }

  private static Entries step(
      SortedMap<Long, Entries> entries, StoreVersion version, StoreVersion last) {
    return entries.computeIfAbsent(
        Math.min(version.number(), last.number()), number -> new Entries());
  }
}
