package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Table and object store in memory. Fails the test if an accepted row skips a generation, reverts a
 * file or drops a file that still exists.
 */
final class FakeStore {
  private final Map<String, AcceptedSnapshot> snapshots = new HashMap<>();
  private final List<SortedMap<String, FolderFile>> folderHistory = new ArrayList<>();
  private final Map<String, Long> highestAcceptedVersions = new HashMap<>();
  private SortedMap<String, FolderFile> folder = TreeMap.empty();
  private Option<VersionedRow> row = Option.none();
  private Vector<FileVersion> acceptedFiles = Vector.empty();
  private long versions;

  FakeStore() {
    folderHistory.add(folder);
  }

  void put(String name, String text) {
    versions++;
    folder = folder.put(name, new FolderFile(name, Long.toString(versions), text));
    folderHistory.add(folder);
  }

  void remove(String name) {
    versions++;
    folder = folder.remove(name);
    folderHistory.add(folder);
  }

  SortedMap<String, FolderFile> folder() {
    return folder;
  }

  SortedMap<String, FolderFile> folderBefore(int edits) {
    return folderHistory.get(Math.max(0, folderHistory.size() - 1 - edits));
  }

  Option<VersionedRow> row() {
    return row;
  }

  long rowVersion() {
    return row.map(VersionedRow::version).getOrElse(0L);
  }

  Option<AcceptedSnapshot> snapshot(String name) {
    return Option.of(snapshots.get(name));
  }

  void write(String name, AcceptedSnapshot snapshot) {
    if (snapshots.putIfAbsent(name, snapshot) != null) {
      throw new AssertionError("snapshot %s was written twice".formatted(name));
    }
  }

  void delete(String name) {
    if (row.exists(found -> found.row().objectName().equals(name))) {
      throw new AssertionError(
          "snapshot %s was deleted although the accepted row references it".formatted(name));
    }
    snapshots.remove(name);
  }

  void loseSnapshot(String name) {
    snapshots.remove(name);
  }

  /** Writes the row if its version is as expected and returns the new version. */
  Option<Long> compareAndSet(long expectedVersion, AcceptedRow next) {
    if (row.map(VersionedRow::version).getOrElse(0L) != expectedVersion) {
      return Option.none();
    }
    long before = row.map(found -> found.row().generation().value()).getOrElse(0L);
    if (next.generation().value() != before + 1) {
      throw new AssertionError(
          "generation %s was written after generation %d".formatted(next.generation(), before));
    }
    checkNoRevert(snapshots.get(next.objectName()).files());
    row = Option.of(new VersionedRow(expectedVersion + 1, next));
    return Option.of(expectedVersion + 1);
  }

  /** Fails if a version that an accepted set replaced or dropped is accepted again. */
  private void checkNoRevert(Vector<FileVersion> files) {
    Vector<FileVersion> before = acceptedFiles;
    acceptedFiles = files;
    for (FileVersion file : files) {
      long version = Long.parseLong(file.version());
      long highest = highestAcceptedVersions.getOrDefault(file.name(), 0L);
      if (version < highest || (version == highest && !before.contains(file))) {
        throw new AssertionError(
            "file %s was reverted from version %d to %d".formatted(file.name(), highest, version));
      }
      highestAcceptedVersions.put(file.name(), version);
    }
    for (FileVersion file : before) {
      boolean dropped = files.forAll(kept -> !kept.name().equals(file.name()));
      if (dropped && folder.get(file.name()).exists(f -> f.version().equals(file.version()))) {
        throw new AssertionError(
            "file %s was dropped although it was not removed".formatted(file.name()));
      }
    }
  }
}
