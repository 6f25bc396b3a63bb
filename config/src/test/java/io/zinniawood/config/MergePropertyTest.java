package io.zinniawood.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.acceptance.AcceptedRow;
import io.zinniawood.core.acceptance.AcceptedSnapshot;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.acceptance.FolderFile;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.Payload;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class MergePropertyTest {
  private static final String SEED = "20261204";

  // Guards against a merge that keeps a replaced value, loses a value or reports a wrong origin.
  @Property(tries = 400, seed = SEED)
  void mergeEqualsLineByLineMerge(@ForAll long seed) {
    Vector<ConfigurationFile> files = new FolderGenerator(seed).files();
    ReferenceMerge reference = ReferenceMerge.of(files);
    MergedConfiguration merged = merge(files);
    Map<String, String> origins = new TreeMap<>();
    merged.origins().forEach((key, origin) -> origins.put(key, origin.file() + origin.line()));
    assertThat(origins, equalTo(reference.origins));
    ConfigurationFile single = new ConfigurationFile("all.toml", "1", reference.text());
    assertThat(merged.cluster(), equalTo(merge(Vector.of(single)).cluster()));
  }

  // Guards against a result that depends on the order in which the store lists the files.
  @Property(tries = 200, seed = SEED)
  void mergeIsIndependentOfListingOrder(@ForAll long seed) {
    Vector<ConfigurationFile> files = new FolderGenerator(seed).files();
    assertThat(merge(files.shuffle()).cluster(), equalTo(merge(files).cluster()));
  }

  // Guards against a snapshot that is parsed as a different configuration.
  @Property(tries = 400, seed = SEED)
  void codecRoundTripPreservesConfiguration(@ForAll long seed) {
    ClusterConfiguration cluster = merge(new FolderGenerator(seed).files()).cluster();
    AcceptedConfiguration accepted = accepted(cluster);
    Payload payload = ConfigurationCodec.encode(accepted).get();
    AcceptedConfiguration decoded =
        ConfigurationCodec.decode(payload)
            .getOrElseThrow(error -> new AssertionError(error.detail()));
    assertThat(decoded, equalTo(accepted));
    assertThat(ConfigurationCodec.digest(decoded.cluster()), is(accepted.digest()));
    AcceptedSnapshot snapshot = snapshot(accepted);
    assertThat(
        AcceptanceCodec.encodeSnapshot(snapshot).flatMap(AcceptanceCodec::decodeSnapshot),
        equalTo(Either.right(snapshot)));
    AcceptedRow row =
        new AcceptedRow(
            accepted.generation(), accepted.digest(), "accepted/7", new AttemptId("v1-1-" + seed));
    assertThat(
        AcceptanceCodec.decodeRow(AcceptanceCodec.encodeRow(row)), equalTo(Either.right(row)));
  }

  // Guards against an exception, or a fault without a position, for any text that an
  // operator uploads.
  @Property(tries = 600, seed = SEED)
  void mutatedFilesGiveFaultsOrConfigurations(@ForAll long seed) {
    Random random = new Random(seed);
    Vector<ConfigurationFile> files = new FolderGenerator(seed).files();
    Vector<ConfigurationFile> mutated =
        files.map(
            file ->
                new ConfigurationFile(file.name(), "1", TextMutator.mutate(file.text(), random)));
    Either<Vector<ConfigurationFault>, MergedConfiguration> merged =
        ConfigurationFolder.merge(mutated);
    if (merged.isLeft()) {
      assertThat(merged.getLeft().size(), greaterThanOrEqualTo(1));
      for (ConfigurationFault fault : merged.getLeft()) {
        assertThat(fault.text(), fault.line(), greaterThanOrEqualTo(1));
        assertThat(fault.text(), fault.text().lines().count(), is(1L));
        assertThat(fault.text(), fault.file().isEmpty(), is(false));
      }
    }
  }

  // Guards against a snapshot that is too large with its texts, though it was accepted before.
  @Test
  void snapshotLeavesOutTextsThatDoNotFit() {
    ClusterConfiguration cluster = merge(new FolderGenerator(1).files()).cluster();
    AcceptedConfiguration accepted = accepted(cluster);
    Vector<FileVersion> files = Vector.of(new FileVersion("a.toml", "v1"));
    String text = "#".repeat(ConfigurationCodec.MAX_BYTES);
    AcceptedSnapshot complete =
        new AcceptedSnapshot(accepted, files, Vector.of(new FolderFile("a.toml", "v1", text)));
    assertThat(
        AcceptanceCodec.encodeSnapshot(complete).flatMap(AcceptanceCodec::decodeSnapshot),
        equalTo(Either.right(new AcceptedSnapshot(accepted, files, Vector.empty()))));
  }

  // Guards against an exception for any bytes that a peer or the store returns.
  @Property(tries = 600, seed = SEED)
  void mutatedSnapshotsGiveTypedErrors(@ForAll long seed) {
    Random random = new Random(seed);
    ClusterConfiguration cluster = merge(new FolderGenerator(seed).files()).cluster();
    AcceptedConfiguration accepted = accepted(cluster);
    byte[] bytes = ConfigurationCodec.encode(accepted).get().bytes();
    Payload mutated =
        Payload.ofText(TextMutator.mutate(new String(bytes, StandardCharsets.UTF_8), random));
    ConfigurationCodec.decode(mutated)
        .peek(decoded -> assertThat(decoded.cluster(), equalTo(cluster)));
    AcceptanceCodec.decodeRow(mutated);
    AcceptanceCodec.decodeSnapshot(mutated);
    String snapshot =
        new String(
            AcceptanceCodec.encodeSnapshot(snapshot(accepted)).get().bytes(),
            StandardCharsets.UTF_8);
    AcceptanceCodec.decodeSnapshot(Payload.ofText(TextMutator.mutate(snapshot, random)))
        .peek(decoded -> assertThat(decoded.configuration().cluster(), equalTo(cluster)));
    byte[] randomBytes = new byte[random.nextInt(200)];
    random.nextBytes(randomBytes);
    assertThat(ConfigurationCodec.decode(Payload.wrap(randomBytes)).isLeft(), is(true));
  }

  private static AcceptedConfiguration accepted(ClusterConfiguration cluster) {
    return new AcceptedConfiguration(
        new Generation(7), ConfigurationCodec.digest(cluster), cluster);
  }

  private static AcceptedSnapshot snapshot(AcceptedConfiguration accepted) {
    String name = "a \"\u00e9.toml";
    return new AcceptedSnapshot(
        accepted,
        Vector.of(new FileVersion(name, "v1")),
        Vector.of(new FolderFile(name, "v1", "# \"\u00e9\n")));
  }

  private static MergedConfiguration merge(Vector<ConfigurationFile> files) {
    return ConfigurationFolder.merge(files)
        .getOrElseThrow(faults -> new AssertionError(faults.map(ConfigurationFault::text)));
  }

  /** Reference merge: works line by line without a parser, types, defaults or checks. */
  private static final class ReferenceMerge {
    final Map<String, Map<String, String>> tables = new TreeMap<>();
    final Map<String, String> origins = new TreeMap<>();

    static ReferenceMerge of(Vector<ConfigurationFile> files) {
      ReferenceMerge merge = new ReferenceMerge();
      Map<String, String> texts = new TreeMap<>();
      files.forEach(file -> texts.put(file.name(), file.text()));
      for (String name : new TreeSet<>(texts.keySet())) {
        merge.add(name, texts.get(name));
      }
      return merge;
    }

    private void add(String name, String text) {
      String table = "";
      int line = 0;
      for (String content : text.split("\n", -1)) {
        line++;
        if (content.startsWith("[")) {
          table = content.substring(1, content.length() - 1);
          tables.computeIfAbsent(table, unused -> new TreeMap<>());
        } else if (content.contains(" = ")) {
          String key = content.substring(0, content.indexOf(" = "));
          tables.get(table).put(key, content.substring(content.indexOf(" = ") + 3));
          origins.put(table + "." + key, name + line);
        }
      }
    }

    String text() {
      StringBuilder text = new StringBuilder();
      tables.forEach(
          (table, keys) -> {
            text.append('[').append(table).append("]\n");
            keys.forEach((key, value) -> text.append(key + " = " + value + "\n"));
          });
      return text.toString();
    }
  }
}
