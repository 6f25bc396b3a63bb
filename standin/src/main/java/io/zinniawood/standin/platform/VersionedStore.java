package io.zinniawood.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Values sorted by name, each with a version number that increases with every write, and the recent
 * changes, so that an earlier state can be restored.
 */
final class VersionedStore {
  /** Age of the oldest state that can be restored. */
  static final long MAX_AGE_MILLIS = 60_000;

  private final TreeMap<String, Versioned> values = new TreeMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private long lastVersion;

  record Versioned(long version, byte[] content) {}

  /** Result of a conditional write: the new version, or the value that has another version. */
  record WriteResult(Optional<Long> newVersion, Optional<Versioned> conflictingValue) {}

  /** State before a change: the value of one name, and the last version of the whole store. */
  private record Change(
      long atNanos, String name, Optional<Versioned> previous, long previousLastVersion) {}

  synchronized Optional<Versioned> read(String name) {
    return Optional.ofNullable(values.get(name));
  }

  synchronized WriteResult writeIfVersion(String name, long expectedVersion, byte[] content) {
    Versioned current = values.get(name);
    long currentVersion = current == null ? 0 : current.version();
    if (currentVersion != expectedVersion) {
      return new WriteResult(Optional.empty(), Optional.ofNullable(current));
    }
    recordChange(name);
    values.put(name, new Versioned(currentVersion + 1, content));
    return new WriteResult(Optional.of(currentVersion + 1), Optional.empty());
  }

  /** Writes a value and returns its version, which is new in the whole store. */
  synchronized long put(String name, byte[] content) {
    recordChange(name);
    lastVersion++;
    values.put(name, new Versioned(lastVersion, content));
    return lastVersion;
  }

  synchronized boolean delete(String name) {
    if (!values.containsKey(name)) {
      return false;
    }
    recordChange(name);
    values.remove(name);
    return true;
  }

  /** Returns the values whose names start with the prefix. */
  synchronized SortedMap<String, Versioned> withPrefix(String prefix) {
    TreeMap<String, Versioned> matching = new TreeMap<>();
    values.tailMap(prefix, true).entrySet().stream()
        .takeWhile(entry -> entry.getKey().startsWith(prefix))
        .forEach(entry -> matching.put(entry.getKey(), entry.getValue()));
    return matching;
  }

  /** Restores the state of the given time; versions given out since are given out again. */
  synchronized void restore(long atNanos) {
    while (!changes.isEmpty() && changes.getLast().atNanos() - atNanos > 0) {
      Change change = changes.removeLast();
      change
          .previous()
          .ifPresentOrElse(
              value -> values.put(change.name(), value), () -> values.remove(change.name()));
      lastVersion = change.previousLastVersion();
    }
  }

  private void recordChange(String name) {
    long nowNanos = System.nanoTime();
    long oldestNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(MAX_AGE_MILLIS);
    while (!changes.isEmpty() && changes.getFirst().atNanos() - oldestNanos < 0) {
      changes.removeFirst();
    }
    changes.addLast(new Change(nowNanos, name, Optional.ofNullable(values.get(name)), lastVersion));
  }
}
