package io.zinniawood.standin.platform;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** Values sorted by name, each with a version number that increases with every write. */
final class VersionedStore {
  private final TreeMap<String, Versioned> values = new TreeMap<>();

  record Versioned(long version, byte[] content) {}

  /** Result of a conditional write: the new version, or the value that has another version. */
  record WriteResult(Optional<Long> newVersion, Optional<Versioned> conflictingValue) {}

  synchronized Optional<Versioned> read(String name) {
    return Optional.ofNullable(values.get(name));
  }

  synchronized WriteResult writeIfVersion(String name, long expectedVersion, byte[] content) {
    Versioned current = values.get(name);
    long currentVersion = current == null ? 0 : current.version();
    if (currentVersion != expectedVersion) {
      return new WriteResult(Optional.empty(), Optional.ofNullable(current));
    }
    values.put(name, new Versioned(currentVersion + 1, content));
    return new WriteResult(Optional.of(currentVersion + 1), Optional.empty());
  }

  synchronized void put(String name, long version, byte[] content) {
    values.put(name, new Versioned(version, content));
  }

  synchronized boolean delete(String name) {
    return values.remove(name) != null;
  }

  /** Returns the values whose names start with the prefix. */
  synchronized SortedMap<String, Versioned> withPrefix(String prefix) {
    TreeMap<String, Versioned> matching = new TreeMap<>();
    values.tailMap(prefix, true).entrySet().stream()
        .takeWhile(entry -> entry.getKey().startsWith(prefix))
        .forEach(entry -> matching.put(entry.getKey(), entry.getValue()));
    return matching;
  }
}
