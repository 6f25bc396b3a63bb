package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/**
 * Tests that every entry applies an accepted configuration and that none reverts to an older one.
 */
final class ConfigurationTest {
  private static final String ENTRY_1 = "entry-1";
  private static final String ENTRY_2 = "entry-2";

  private final Caller caller = new Caller();
  private ProcessCluster cluster;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new ProcessCluster(test.getTestMethod().get().getName());
    cluster.addEntry(ENTRY_1);
    cluster.addEntry(ENTRY_2);
    awaitReady(ENTRY_1);
    awaitReady(ENTRY_2);
  }

  @AfterEach
  void closeCluster() {
    cluster.close();
  }

  private void awaitReady(String entry) {
    Caller.await(() -> caller.get(cluster.entry(entry).adminUri(), "/readyz").status() == 200);
  }

  private boolean listsModel(String entry, String model) {
    return caller
        .get(cluster.entry(entry).callersUri(), "/v1/models")
        .body()
        .path("data")
        .findValuesAsText("id")
        .contains(model);
  }

  private void awaitModelListed(String model) {
    Caller.await(() -> listsModel(ENTRY_1, model) && listsModel(ENTRY_2, model));
  }

  private void putModelFile(String file, String model) {
    cluster.putConfigurationFile(file, "[models.%s]\nlayers = 4\n".formatted(model));
  }

  // Guards against an edit that only the entry that first read it applies.
  @Test
  void editReachesEveryEntry() {
    putModelFile("20-brief.toml", "brief");
    awaitModelListed("brief");
  }

  // Guards against the loss of one of two concurrent edits.
  @Test
  void editsOfTwoOperatorsBothTakeEffect() {
    putModelFile("20-brief.toml", "brief");
    putModelFile("21-summary.toml", "summary");
    awaitModelListed("brief");
    awaitModelListed("summary");
  }

  // Guards against an invalid file that disables the accepted configuration.
  @Test
  void invalidEditLeavesTheAcceptedConfigurationInForce() {
    cluster.putConfigurationFile("30-broken.toml", "[models.wrong]\nlayers = \"many\"\n");
    putModelFile("40-later.toml", "later");
    cluster.putConfigurationFile("30-broken.toml", "[models.right]\nlayers = 4\n");
    awaitModelListed("right");
    assertThat(listsModel(ENTRY_1, "assistant"), is(true));
    assertThat(listsModel(ENTRY_1, "wrong"), is(false));
  }

  // Guards against a revert to an older configuration, or refused requests, during
  // a platform outage.
  @Test
  void acceptedConfigurationStaysInForceThroughAnOutage() {
    putModelFile("20-brief.toml", "brief");
    awaitModelListed("brief");
    cluster.platform().setFaults(PlatformFaults.outage());
    cluster.addEntry("entry-3");
    // A new entry cannot read the VM list during the outage, so it must report that
    // it is not ready.
    Caller.await(() -> caller.get(cluster.entry("entry-3").adminUri(), "/readyz").status() == 503);
    assertThat(listsModel(ENTRY_1, "brief"), is(true));
    assertThat(listsModel(ENTRY_2, "brief"), is(true));
    cluster.platform().setFaults(PlatformFaults.none());
    awaitReady("entry-3");
    Caller.await(() -> listsModel("entry-3", "brief"));
  }

  // Guards against treating files that an incomplete listing omits as removed.
  @Test
  void incompleteListingRemovesNothing() {
    putModelFile("20-brief.toml", "brief");
    awaitModelListed("brief");
    cluster.platform().setFaults(PlatformFaults.listings(PlatformFaults.ListingFault.UNMARKED));
    putModelFile("21-summary.toml", "summary");
    Caller.await(
        () ->
            cluster.platform().reads(io.zinniawood.standin.platform.PlatformService.OBJECTS) > 40);
    assertThat(listsModel(ENTRY_1, "brief"), is(true));
    assertThat(listsModel(ENTRY_1, "assistant"), is(true));
    cluster.platform().setFaults(PlatformFaults.none());
    awaitModelListed("summary");
    assertThat(listsModel(ENTRY_1, "brief"), is(true));
  }

  // Guards against a removed file whose settings remain active.
  @Test
  void removedFileTakesEffectEverywhere() {
    putModelFile("20-brief.toml", "brief");
    awaitModelListed("brief");
    cluster.platform().deleteObject("config/20-brief.toml");
    Caller.await(() -> !listsModel(ENTRY_1, "brief") && !listsModel(ENTRY_2, "brief"));
    assertThat(listsModel(ENTRY_1, "assistant"), is(true));
  }
}
