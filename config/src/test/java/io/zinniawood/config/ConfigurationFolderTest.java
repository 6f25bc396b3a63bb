package io.zinniawood.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.ServiceDefinition;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.Priority;
import org.junit.jupiter.api.Test;

final class ConfigurationFolderTest {
  private static final String KEY = "ab".repeat(32);

  // Guards against a later file that removes keys of a table to which it only adds keys.
  @Test
  void tablesMergeByKeyAndListsAreReplaced() {
    ClusterConfiguration cluster =
        merge(
            file("20-override.toml", "[client_accounts.k]\nweight = 3\nkey_sha256 = []\n"),
            file(
                "10-base.toml",
                "[client_accounts.k]\nkey_sha256 = [\"%s\"]\nburst_requests = 7\n".formatted(KEY)));
    var account = cluster.clientAccounts().get(new ClientAccountId("k")).get();
    assertThat(account.burstRequests(), is(7));
    assertThat(account.weight(), is(3));
    assertThat(account.keySha256Hex(), equalTo(HashSet.empty()));
    assertThat(account.priority(), is(Priority.NORMAL));
  }

  // Guards against a default that differs from docs/configuration.md.
  @Test
  void emptyTablesTakeTheDefaults() {
    ClusterConfiguration cluster =
        merge(
            file("a.toml", "[models.m]\nlayers = 4\n[services.credit]\n"),
            file("b.toml", "[objectives.o]\ntarget = \"credit\"\n"));
    assertThat(
        cluster.services().get(new ServiceName("credit")).get(),
        equalTo(
            new ServiceDefinition(
                new ServiceName("credit"),
                HashSet.of("GET", "HEAD", "OPTIONS"),
                5_000,
                72L * 3_600_000)));
    assertThat(
        cluster.objectives(),
        equalTo(
            Vector.of(
                new Objective("o", "credit", 0.999, Option.none(), Option.none(), 0.95, 0, 28))));
    assertThat(cluster.retries(), equalTo(new RetryPolicy(3, 0.1, 10, 20, 500, 2_000)));
  }

  // Guards against a report of only the first fault, which would force operators to fix one fault
  // per attempt.
  @Test
  void allFaultsOfAllFilesAreReportedAtOnce() {
    assertThat(
        faults(
            file("a.toml", "[services.s]\ndefault_deadline = 5\n\n[modles.m]\nlayers = 3\n"),
            file("b.toml", "[models.chat]\nlayers = 0\nmax_tokens = \"many\"\n"),
            file("c.toml", "[objectives.o]\ntarget = \"chta\"\n[routing]\nsubset_size = 1.5\n"),
            file("d.toml", "[objectives.p]\n")),
        contains(
            "a.toml:2:1: services.s.default_deadline: found an unknown key, expected the known key"
                + " nearest to it, default_deadline_ms",
            "a.toml:4:1: modles: found an unknown key, expected the known key nearest to it,"
                + " models",
            "b.toml:2:1: models.chat.layers: found 0, expected an integer from 1 to 10000",
            "b.toml:3:1: models.chat.max_tokens: found \"many\", expected an integer from 1 to"
                + " 10000000",
            "c.toml:2:1: objectives.o.target: found \"chta\", expected a configured model or"
                + " service; the nearest is \"chat\"",
            "c.toml:4:1: routing.subset_size: found 1.5, expected an integer from 1 to 10000",
            "d.toml:1:1: objectives.p.target: found nothing, expected the id of a model or the name"
                + " of a service"));
  }

  // Guards against a syntax error without a position, and against follow-up faults.
  @Test
  void syntaxErrorHasPositionAndOtherFilesAreStillChecked() {
    assertThat(
        faults(
                file("a.toml", "[models.m]\nlayers = \n"),
                file("b.toml", "[repair]\nlease_ms = 1\n"))
            .map(text -> text.replaceAll("found .*", "")),
        contains("a.toml:2:10: ", "b.toml:2:1: repair.lease_ms: "));
  }

  // Guards against an API key that identifies two client accounts, so that it would be undefined
  // which of them a request is charged to.
  @Test
  void apiKeyOfTwoClientAccountsIsFault() {
    String keys = "key_sha256 = [\"%s\"]\n".formatted(KEY);
    assertThat(
        faults(
            file("a.toml", "[client_accounts.a]\n" + keys),
            file("b.toml", "[client_accounts.b]\n" + keys)),
        contains(
            "b.toml:2:1: client_accounts.b.key_sha256: found the key abababab..., which client"
                + " account \"a\" also has, expected a key of one client account only"));
  }

  // Guards against values that are each valid but contradict each other.
  @Test
  void maxDelayBelowBaseDelayIsFault() {
    assertThat(
        faults(
            file("a.toml", "[retries]\nbase_delay_ms = 900\n"),
            file("b.toml", "[retries]\nmax_delay_ms = 600\n")),
        contains(
            "b.toml:2:1: retries.max_delay_ms: found 600, expected at least base_delay_ms, which is"
                + " 900"));
  }

  // Guards against accepting a table in place of a value, and a value in place of a table.
  @Test
  void tablesAndValuesInWrongPlacesAreFaults() {
    assertThat(
        faults(
            file("a.toml", "models = 3\n"),
            file("b.toml", "[models]\nm = 3\n"),
            file("c.toml", "[routing.subset_size]\nx = 1\n"),
            file("d.toml", "[[services]]\nname = \"s\"\n"),
            file("e.toml", "[services.\"\"]\n")),
        contains(
            "a.toml:1:1: models: found 3, expected a table",
            "b.toml:2:1: models.m: found 3, expected a table",
            "c.toml:1:1: routing.subset_size: found a table, expected an integer from 1 to 10000",
            "d.toml:1:1: services: found [a table], expected a table",
            "e.toml:1:1: services.\"\": found \"\", expected an id of 1 to 256 characters"));
  }

  // Guards against a fault message with a line break or a terminal control sequence.
  @Test
  void controlCharactersInFaultsAreEscaped() {
    assertThat(
        faults(file("a.toml", "[models.m]\nlayers = \"\\u001B[2J\\n\"\n")),
        contains(
            "a.toml:2:1: models.m.layers: found \"\\u001B[2J\\u000A\", expected an integer from 1"
                + " to 10000"));
  }

  // Guards against unbounded memory for the faults of a file that is not TOML.
  @Test
  void faultsBeyondTheLimitAreOnlyCounted() {
    StringBuilder text = new StringBuilder("[repair]\n");
    for (int i = 0; i < 1500; i++) {
      text.append("key").append(i).append(" = 1\n");
    }
    Vector<String> faults = faults(file("a.toml", text.toString()));
    assertThat(faults.size(), is(ConfigurationFolder.MAX_FAULTS + 1));
    assertThat(faults.last(), containsString("found 500 more faults from here on"));
  }

  private static ConfigurationFile file(String name, String text) {
    return new ConfigurationFile(name, "1", text);
  }

  private static ClusterConfiguration merge(ConfigurationFile... files) {
    return ConfigurationFolder.merge(Vector.of(files))
        .getOrElseThrow(faults -> new AssertionError(faults.map(ConfigurationFault::text)))
        .cluster();
  }

  private static Vector<String> faults(ConfigurationFile... files) {
    Either<Vector<ConfigurationFault>, MergedConfiguration> merged =
        ConfigurationFolder.merge(Vector.of(files));
    return merged.getLeft().map(ConfigurationFault::text);
  }
}
