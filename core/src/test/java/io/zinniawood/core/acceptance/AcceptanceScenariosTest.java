package io.zinniawood.core.acceptance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.zinniawood.core.acceptance.AcceptanceSimulation.Fault;
import io.zinniawood.core.acceptance.AcceptanceSimulation.Node;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Generation;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class AcceptanceScenariosTest {
  private static final long SEED = 20261204;

  // Guards against losing one of two edits that operators make to different files at the same time.
  @Test
  void concurrentEditsToDifferentFilesAreBothAccepted() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(2);
    simulation.store.put("a.toml", "one");
    simulation.run(3);
    simulation.store.put("b.toml", "two");
    simulation.runWithoutFaults();
    assertThat(simulation.nodes.get(0).digest(), is("base;one;two"));
    assertThat(simulation.nodes.get(1).digest(), is("base;one;two"));
  }

  // Guards against an edit that replaces another operator's edit to the same file without a notice.
  @Test
  void overwriteOfRecentEditIsReported() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "first");
    simulation.runUntil(node -> node.digest().equals("base;first"));
    simulation.store.put("a.toml", "second");
    simulation.runUntil(node -> node.digest().equals("base;second"));
    assertThat(
        simulation.nodes.get(0).notices,
        hasItem(new AcceptanceNotice.Overwritten("a.toml", "2", "3", true)));
  }

  // Guards against accepting a folder when the store lists only some of its files.
  @Test
  void incompleteListingIsNotAccepted() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "one");
    simulation.faults = effect -> Fault.PARTIAL_LISTING;
    simulation.run(200);
    assertThat(generation(simulation), is(1L));
    simulation.runWithoutFaults();
    assertThat(simulation.nodes.get(0).digest(), is("base;one"));
  }

  // Guards against dropping the configuration in force while the store is unavailable.
  @Test
  void outageKeepsTheConfigurationInForce() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(2);
    simulation.store.remove("00-base.toml");
    simulation.store.put("a.toml", "one");
    simulation.faults = effect -> Fault.UNAVAILABLE;
    simulation.run(200);
    assertThat(simulation.nodes.get(0).digest(), is("base"));
    assertThat(
        simulation.nodes.get(0).notices, hasItem(instanceOf(AcceptanceNotice.StoreTrouble.class)));
    simulation.runWithoutFaults();
    assertThat(simulation.nodes.get(0).digest(), is("one"));
  }

  // Guards against a second generation for one edit when the response to the row write is lost.
  @Test
  void rowIsReadBackAfterLostWriteResponse() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "one");
    simulation.faults =
        effect -> effect instanceof AcceptanceEffect.WriteRow ? Fault.RESPONSE_LOST : Fault.NONE;
    simulation.run(300);
    assertThat(generation(simulation), is(2L));
    assertThat(simulation.nodes.get(0).published.size(), is(2));
  }

  // Guards against two generations for one edit when the row write takes effect only after the row
  // was read back.
  @Test
  void delayedWriteIsAcceptedOnce() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "one");
    simulation.faults =
        effect -> effect instanceof AcceptanceEffect.WriteRow ? Fault.DELAYED : Fault.NONE;
    simulation.run(300);
    simulation.runWithoutFaults();
    assertThat(generation(simulation), is(2L));
    assertThat(simulation.nodes.get(0).digest(), is("base;one"));
  }

  // Guards against treating the own write as rejected when a client library sent it twice and the
  // second copy conflicts with the first.
  @Test
  void conflictWithOwnAttemptCountsAsSuccess() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "one");
    simulation.faults =
        effect -> {
          if (effect instanceof AcceptanceEffect.WriteRow write
              && write.expectedVersion() == simulation.store.row().get().version()) {
            simulation.store.compareAndSet(write.expectedVersion(), write.row());
          }
          return Fault.NONE;
        };
    simulation.run(300);
    assertThat(generation(simulation), is(2L));
    assertThat(
        simulation.store.snapshot(simulation.store.row().get().row().objectName()).isDefined(),
        is(true));
    assertThat(simulation.nodes.get(0).digest(), is("base;one"));
  }

  // Guards against merging file versions that were never in the folder at the same time.
  @Test
  void fileAddedDuringTheReadStartsAnotherRound() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "one");
    simulation.faults =
        effect -> {
          if (effect instanceof AcceptanceEffect.ReadFile
              && !simulation.store.folder().containsKey("b.toml")) {
            simulation.store.put("b.toml", "two");
          }
          return Fault.NONE;
        };
    simulation.run(300);
    assertThat(generation(simulation), is(2L));
    assertThat(simulation.nodes.get(0).digest(), is("base;one;two"));
    assertThat(
        simulation.nodes.get(0).notices, hasItem(instanceOf(AcceptanceNotice.Inconsistent.class)));
  }

  // Guards against an invalid file that removes the configuration in force.
  @Test
  void invalidFileIsRejectedAndReportedOnce() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "bad");
    simulation.runWithoutFaults();
    assertThat(simulation.nodes.get(0).digest(), is("base"));
    List<AcceptanceNotice> rejections =
        simulation.nodes.get(0).notices.stream()
            .filter(AcceptanceNotice.Rejected.class::isInstance)
            .toList();
    assertThat("number of rejections for one edit", rejections.size(), is(1));
    AcceptanceNotice.Rejected rejected = (AcceptanceNotice.Rejected) rejections.get(0);
    assertThat(rejected.faults(), contains("a.toml:1:1: found bad"));
    assertThat(rejected.inForce(), is(new Generation(1)));
    simulation.store.remove("a.toml");
    simulation.runWithoutFaults();
    assertThat(
        simulation.nodes.get(0).notices,
        hasItem(new AcceptanceNotice.Unchanged(new Generation(1))));
  }

  // Guards against ignoring the removal of a file.
  @Test
  void removedFileIsConfirmedAndTakesEffect() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.put("a.toml", "one");
    simulation.runWithoutFaults();
    simulation.store.remove("a.toml");
    simulation.runWithoutFaults();
    assertThat(simulation.nodes.get(0).digest(), is("base"));
    assertThat(generation(simulation), is(3L));
  }

  // Guards against an empty folder that removes all client accounts.
  @Test
  void emptyFolderIsRejected() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.remove("00-base.toml");
    simulation.runWithoutFaults();
    assertThat(simulation.nodes.get(0).digest(), is("base"));
    assertThat(
        simulation.nodes.get(0).notices, hasItem(instanceOf(AcceptanceNotice.Rejected.class)));
  }

  // Guards against an incomplete or repeated acceptance after a restart in any step of a round.
  @Test
  void restartAfterAnyStepConverges() {
    for (int steps = 0; steps < 40; steps++) {
      AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
      simulation.store.put("a.toml", "one");
      simulation.store.remove("00-base.toml");
      simulation.run(steps);
      simulation.restartPolling(simulation.nodes.get(0));
      simulation.runWithoutFaults();
      assertThat("restart after step " + steps, simulation.nodes.get(0).digest(), is("one"));
      assertThat("generation after a restart after step " + steps, generation(simulation), is(2L));
    }
  }

  // Guards against adopting an older generation from a peer or from a stale table.
  @Test
  void onlyHigherGenerationsAreAdopted() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    Node node = simulation.nodes.get(0);
    simulation.deliver(node, new AcceptanceEvent.NeighbourOffered(configuration(1, "other")));
    assertThat(node.digest(), is("base"));
    simulation.deliver(node, new AcceptanceEvent.NeighbourOffered(configuration(7, "newer")));
    assertThat(node.digest(), is("newer"));
    simulation.runWithoutFaults();
    assertThat("digest in force while the table is stale", node.digest(), is("newer"));
  }

  // Guards against an entry that has no configuration because it does not read the folder.
  @Test
  void followingEntryLoadsTheAcceptedSnapshotAtStart() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    Node node = simulation.nodes.get(0);
    simulation.reset(node);
    simulation.deliver(node, new AcceptanceEvent.Started());
    simulation.store.put("a.toml", "one");
    simulation.runWithoutFaults();
    assertThat(node.digest(), is("base"));
    assertThat("timers of an entry that does not poll", node.timers.keySet(), is(empty()));
  }

  // Guards against a missing snapshot object that blocks all later edits.
  @Test
  void missingSnapshotIsReplacedByTheNextAcceptance() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    simulation.store.loseSnapshot(simulation.store.row().get().row().objectName());
    Node node = simulation.nodes.get(0);
    simulation.restartPolling(node);
    simulation.runWithoutFaults();
    assertThat(node.digest(), is("base"));
    assertThat(generation(simulation), is(2L));
    assertThat(node.notices, not(empty()));
  }

  // Guards against a new entry that reads all files of a large folder at once, and against reading
  // all files again whenever one read fails.
  @Test
  void parallelReadsAreBoundedAndReusedAfterFailures() {
    AcceptanceSimulation simulation = new AcceptanceSimulation(SEED, 1);
    for (int i = 0; i < 300; i++) {
      simulation.store.put("%03d.toml".formatted(i), "x");
    }
    Random random = new Random(SEED);
    int[] reads = {0};
    simulation.faults =
        effect -> {
          reads[0] += effect instanceof AcceptanceEffect.ReadFile ? 1 : 0;
          return random.nextInt(20) == 0 ? Fault.UNAVAILABLE : Fault.NONE;
        };
    int most = 0;
    for (int i = 0; i < 20_000 && generation(simulation) == 0; i++) {
      simulation.step();
      most = Math.max(most, simulation.pending.size());
    }
    assertThat(generation(simulation), is(1L));
    assertThat(
        "calls in flight, including those of the previous round", most, lessThanOrEqualTo(64));
    assertThat("reads of 300 files", reads[0], lessThanOrEqualTo(2_000));
  }

  // Guards against reusing files of a failed round that revert an edit which another entry accepted
  // in the meantime, while the listing is stale.
  @Test
  void filesOfFailedRoundsAreDroppedWhenTheRowChanges() {
    AcceptanceSimulation simulation = simulationWithBaseAccepted(1);
    Node node = simulation.nodes.get(0);
    simulation.store.put("a.toml", "one");
    simulation.faults =
        effect ->
            node.state.phase() instanceof AcceptancePhase.RelistingFolder
                ? Fault.UNAVAILABLE
                : Fault.NONE;
    simulation.runUntil(found -> !found.state.partialRead().files().isEmpty());
    node.staleFolder = simulation.store.folder();
    node.staleListings = 100;
    simulation.store.put("a.toml", "two");
    acceptFolderAsOtherEntry(simulation, 2, "base;two");
    simulation.faults = effect -> Fault.NONE;
    simulation.run(60);
    assertThat("stale listings left", node.staleListings, greaterThan(0));
    assertThat(node.digest(), is("base;two"));
    assertThat(generation(simulation), is(2L));
  }

  /** Writes a snapshot of the folder and the row that references it, as another entry would. */
  private static void acceptFolderAsOtherEntry(
      AcceptanceSimulation simulation, long generation, String digest) {
    AcceptedRow row =
        new AcceptedRow(
            new Generation(generation), digest, "accepted/other", new AttemptId("other"));
    simulation.store.write(
        row.objectName(),
        new AcceptedSnapshot(
            configuration(generation, digest),
            simulation
                .store
                .folder()
                .values()
                .toVector()
                .map(f -> new FileVersion(f.name(), f.version())),
            Vector.empty()));
    assertThat(
        simulation.store.compareAndSet(simulation.store.row().get().version(), row).isDefined(),
        is(true));
  }

  private static AcceptanceSimulation simulationWithBaseAccepted(int entries) {
    AcceptanceSimulation simulation = new AcceptanceSimulation(SEED, entries);
    simulation.store.put("00-base.toml", "base");
    simulation.runWithoutFaults();
    assertThat(generation(simulation), is(1L));
    return simulation;
  }

  private static long generation(AcceptanceSimulation simulation) {
    return simulation.store.row().map(row -> row.row().generation().value()).getOrElse(0L);
  }

  private static AcceptedConfiguration configuration(long generation, String digest) {
    return new AcceptedConfiguration(
        new Generation(generation), digest, AcceptanceSimulation.CLUSTER);
  }
}
