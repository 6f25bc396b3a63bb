package io.zinniawood.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.id.Generation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CheckReportTest {
  @TempDir Path folder;

  // Guards against a report without the origin of each value or without the changes.
  @Test
  void validFolderShowsOriginsAndChanges() throws IOException {
    write("10-base.toml", "[services.credit]\n[services.refill]\n");
    ClusterConfiguration before =
        ConfigurationFolder.merge(ConfigurationFolder.read(folder).files()).get().cluster();
    write("10-base.toml", "[services.credit]\n");
    write("20-late.toml", "[services.credit]\nkey_retention_hours = 96\n[models.m]\nlayers = 4\n");
    CheckReport report =
        CheckReport.of(
            ConfigurationFolder.read(folder),
            Option.of(new AcceptedConfiguration(new Generation(3), "d", before)));
    assertThat(
        report.lines(),
        hasItems(
            "services.credit.key_retention_hours = 96 (20-late.toml:2)",
            "services.credit.default_deadline_ms = 5000 (default)",
            "Changes against the accepted configuration 3:",
            "models.m.layers: added with 4",
            "services.credit.key_retention_hours: changed from 72 to 96",
            "services.refill.key_retention_hours: removed, was 72",
            "The folder is valid."));
    assertThat(report.changes().exists(change -> change.key().startsWith("repair")), is(false));
  }

  // Guards against the upload of an empty folder, which would remove the whole configuration.
  @Test
  void emptyFolderAndIgnoredFilesAreReported() throws IOException {
    write("notes.txt", "x");
    write(".hidden.toml", "x");
    CheckReport report = CheckReport.of(ConfigurationFolder.read(folder), Option.none());
    assertThat(report.valid(), is(false));
    assertThat(report.ignored(), contains(".hidden.toml", "notes.txt"));
    assertThat(report.lines(), hasItem("The folder has 1 fault and would not be accepted."));
  }

  // Guards against a file that cannot be read and is silently left out of the merge.
  @Test
  void unreadableFilesAreFaults() throws IOException {
    Files.write(folder.resolve("a.toml"), new byte[] {(byte) 0xC3, 0x28});
    Files.createDirectory(folder.resolve("b.toml"));
    write("c.toml", "[repair]\nlease_ms = 0\n");
    CheckReport report = CheckReport.of(ConfigurationFolder.read(folder), Option.none());
    assertThat(
        report.faults().map(ConfigurationFault::file).distinct(),
        contains("a.toml", "b.toml", "c.toml"));
    CheckReport missing =
        CheckReport.of(ConfigurationFolder.read(folder.resolve("none")), Option.none());
    assertThat(missing.valid(), is(false));
  }

  // Guards against schema keys that are missing from the canonical text and thus from the digest.
  @Test
  void canonicalTextContainsEverySchemaKey() throws IOException {
    write(
        "a.toml",
        """
        [client_accounts.a]
        [models.a]
        layers = 1
        [services.a]
        [objectives.a]
        target = "a"
        first_token_ms = 1
        token_gap_ms = 1
        """);
    CheckReport report = CheckReport.of(ConfigurationFolder.read(folder), Option.none());
    var expected =
        io.zinniawood.config.internal.FolderSchema.SCHEMA
            .tables()
            .flatMap(
                table ->
                    table
                        .fieldNames()
                        .map(
                            name ->
                                table.keyDepth() == 3
                                    ? table.name() + ".a." + name
                                    : table.name() + "." + name))
            .sorted();
    assertThat(report.values().map(CheckReport.CheckedValue::key).sorted(), is(expected));
  }

  private void write(String name, String text) throws IOException {
    Files.writeString(folder.resolve(name), text);
  }
}
