package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.model.PackedStoreVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Table and object store in memory that can go back to an earlier state. Fails the test if an
 * accepted row skips a generation, reverts a file or drops a file that still exists.
 */
final class FakeStore {
  private final Map<String, AcceptedSnapshot> snapshots = new HashMap<>();
  private final List<State> copies = new ArrayList<>();
  private final List<SortedMap<String, FolderFile>> folderHistory = new ArrayList<>();
  private final Map<String, Long> highestAcceptedVersions = new HashMap<>();
  private SortedMap<String, FolderFile> folder = TreeMap.empty();
  private Option<VersionedRow> row = Option.none();
  private Vector<FileVersion> acceptedFiles = Vector.empty();
  private long versions;
  private long era;

  /** State that a restore brings back; versions are those of the store without its era. */
  private record State(
      Map<String, AcceptedSnapshot> snapshots,
      SortedMap<String, FolderFile> folder,
      Option<VersionedRow> row,
      Vector<FileVersion> acceptedFiles,
      long versions) {}

  /** Takes back the last changes and starts the next era. */
  void restore(int changes) {
    int index = Math.max(0, copies.size() - changes);
    if (index < copies.size()) {
      State copy = copies.get(index);
      copies.subList(index, copies.size()).clear();
      snapshots.clear();
      snapshots.putAll(copy.snapshots());
      folder = copy.folder();
      row = copy.row();
      acceptedFiles = copy.acceptedFiles();
      versions = copy.versions();
    }
    era++;
    folderHistory.clear();
    folderHistory.add(folder);
  }

  long era() {
    return era;
  }

  /** Returns the number of changes that a restore can take back. */
  int changes() {
    return copies.size();
  }

  private void keepCopy() {
    copies.add(new State(new HashMap<>(snapshots), folder, row, acceptedFiles, versions));
  }

  FakeStore() {
    folderHistory.add(folder);
  }

  void put(String name, String text) {
    keepCopy();
    versions++;
    folder = folder.put(name, new FolderFile(name, Long.toString(versions), text));
    folderHistory.add(folder);
  }

  void remove(String name) {
    keepCopy();
    versions++;
    folder = folder.remove(name);
    folderHistory.add(folder);
  }

  SortedMap<String, FolderFile> folder() {
    return inEra(folder);
  }

  private SortedMap<String, FolderFile> inEra(SortedMap<String, FolderFile> files) {
    return files.mapValues(
        file ->
            new FolderFile(
                file.name(),
                Long.toString(PackedStoreVersion.of(era, Long.parseLong(file.version()))),
                file.text()));
  }

  SortedMap<String, FolderFile> folderBefore(int edits) {
    return inEra(folderHistory.get(Math.max(0, folderHistory.size() - 1 - edits)));
  }

  Option<VersionedRow> row() {
    return row.map(
        found -> new VersionedRow(PackedStoreVersion.of(era, found.version()), found.row()));
  }

  long rowVersion() {
    return row().map(VersionedRow::version).getOrElse(PackedStoreVersion.of(era, 0));
  }

  Option<AcceptedSnapshot> snapshot(String name) {
    return Option.of(snapshots.get(name));
  }

  void write(String name, AcceptedSnapshot snapshot) {
    keepCopy();
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
    long number = PackedStoreVersion.number(expectedVersion);
    if (row.map(VersionedRow::version).getOrElse(0L) != number) {
      return Option.none();
    }
    if (next.generation().value() != expectedVersion + 1) {
      throw new AssertionError(
          "generation %s was written after version %d"
              .formatted(next.generation(), expectedVersion));
    }
    keepCopy();
    if (PackedStoreVersion.era(expectedVersion) == era) {
      checkNoRevert(snapshots.get(next.objectName()).files());
    }
    row = Option.of(new VersionedRow(number + 1, next));
    return Option.of(PackedStoreVersion.of(era, number + 1));
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
