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

  // Guards against an edit that hides the edit of another operator to a different file.
  @Test
  void editsToDifferentFilesAreBothInForce() {
    AcceptanceSimulation world = simulationWithBaseAccepted(2);
    world.store.put("a.toml", "one");
    world.run(3);
    world.store.put("b.toml", "two");
    world.runWithoutFaults();
    assertThat(world.nodes.get(0).digest(), is("base;one;two"));
    assertThat(world.nodes.get(1).digest(), is("base;one;two"));
  }

  // Guards against an edit that silently replaces another operator's edit to the same file.
  @Test
  void overwrittenVersionOfOneFileIsReported() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "first");
    world.runUntil(node -> node.digest().equals("base;first"));
    world.store.put("a.toml", "second");
    world.runUntil(node -> node.digest().equals("base;second"));
    assertThat(
        world.nodes.get(0).notices,
        hasItem(new AcceptanceNotice.Overwritten("a.toml", "2", "3", true)));
  }

  // Guards against accepting a folder of which the store showed a part.
  @Test
  void incompleteListingChangesNothing() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "one");
    world.faults = effect -> Fault.PARTIAL_LISTING;
    world.run(200);
    assertThat(generation(world), is(1L));
    world.runWithoutFaults();
    assertThat(world.nodes.get(0).digest(), is("base;one"));
  }

  // Guards against losing the configuration in force while the store is down.
  @Test
  void outageKeepsTheConfigurationInForce() {
    AcceptanceSimulation world = simulationWithBaseAccepted(2);
    world.store.remove("00-base.toml");
    world.store.put("a.toml", "one");
    world.faults = effect -> Fault.UNAVAILABLE;
    world.run(200);
    assertThat(world.nodes.get(0).digest(), is("base"));
    assertThat(
        world.nodes.get(0).notices, hasItem(instanceOf(AcceptanceNotice.StoreTrouble.class)));
    world.runWithoutFaults();
    assertThat(world.nodes.get(0).digest(), is("one"));
  }

  // Guards against a second generation for one edit when the response to its write was lost.
  @Test
  void lostResponseToTheCompareAndSetIsReadBack() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "one");
    world.faults =
        effect -> effect instanceof AcceptanceEffect.WriteRow ? Fault.RESPONSE_LOST : Fault.NONE;
    world.run(300);
    assertThat(generation(world), is(2L));
    assertThat(world.nodes.get(0).published.size(), is(2));
  }

  // Guards against two writes in force when the first one arrives after its read-back.
  @Test
  void delayedWriteIsAcceptedOnce() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "one");
    world.faults =
        effect -> effect instanceof AcceptanceEffect.WriteRow ? Fault.DELAYED : Fault.NONE;
    world.run(300);
    world.runWithoutFaults();
    assertThat(generation(world), is(2L));
    assertThat(world.nodes.get(0).digest(), is("base;one"));
  }

  // Guards against treating the own write as lost when a library sent it twice.
  @Test
  void conflictWithTheOwnAttemptIsSuccess() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "one");
    world.faults =
        effect -> {
          if (effect instanceof AcceptanceEffect.WriteRow write
              && write.expectedVersion() == world.store.row().get().version()) {
            world.store.compareAndSet(write.expectedVersion(), write.row());
          }
          return Fault.NONE;
        };
    world.run(300);
    assertThat(generation(world), is(2L));
    assertThat(
        world.store.snapshot(world.store.row().get().row().objectName()).isDefined(), is(true));
    assertThat(world.nodes.get(0).digest(), is("base;one"));
  }

  // Guards against a merge of files that never stood in the folder together.
  @Test
  void fileAddedDuringTheReadStartsAnotherRound() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "one");
    world.faults =
        effect -> {
          if (effect instanceof AcceptanceEffect.ReadFile
              && !world.store.folder().containsKey("b.toml")) {
            world.store.put("b.toml", "two");
          }
          return Fault.NONE;
        };
    world.run(300);
    assertThat(generation(world), is(2L));
    assertThat(world.nodes.get(0).digest(), is("base;one;two"));
    assertThat(
        world.nodes.get(0).notices, hasItem(instanceOf(AcceptanceNotice.Inconsistent.class)));
  }

  // Guards against an invalid file that takes the system's configuration away.
  @Test
  void invalidFileIsReportedAndChangesNothing() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "bad");
    world.runWithoutFaults();
    assertThat(world.nodes.get(0).digest(), is("base"));
    List<AcceptanceNotice> rejections =
        world.nodes.get(0).notices.stream()
            .filter(AcceptanceNotice.Rejected.class::isInstance)
            .toList();
    assertThat("one report for one edit", rejections.size(), is(1));
    AcceptanceNotice.Rejected rejected = (AcceptanceNotice.Rejected) rejections.get(0);
    assertThat(rejected.faults(), contains("a.toml:1:1: found bad"));
    assertThat(rejected.inForce(), is(new Generation(1)));
    world.store.remove("a.toml");
    world.runWithoutFaults();
    assertThat(
        world.nodes.get(0).notices, hasItem(new AcceptanceNotice.Unchanged(new Generation(1))));
  }

  // Guards against a removal that never takes effect.
  @Test
  void removedFileIsConfirmedAndTakesEffect() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.put("a.toml", "one");
    world.runWithoutFaults();
    world.store.remove("a.toml");
    world.runWithoutFaults();
    assertThat(world.nodes.get(0).digest(), is("base"));
    assertThat(generation(world), is(3L));
  }

  // Guards against an emptied folder that takes every client account away.
  @Test
  void emptyFolderIsRefused() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.remove("00-base.toml");
    world.runWithoutFaults();
    assertThat(world.nodes.get(0).digest(), is("base"));
    assertThat(world.nodes.get(0).notices, hasItem(instanceOf(AcceptanceNotice.Rejected.class)));
  }

  // Guards against a half-done acceptance that a restart leaves behind.
  @Test
  void restartInTheMiddleOfEachStepConverges() {
    for (int steps = 0; steps < 40; steps++) {
      AcceptanceSimulation world = simulationWithBaseAccepted(1);
      world.store.put("a.toml", "one");
      world.store.remove("00-base.toml");
      world.run(steps);
      world.restartPolling(world.nodes.get(0));
      world.runWithoutFaults();
      assertThat("restart after step " + steps, world.nodes.get(0).digest(), is("one"));
      assertThat("generations after step " + steps, generation(world), is(2L));
    }
  }

  // Guards against a neighbour that is behind and takes this entry back.
  @Test
  void onlyHigherGenerationsOfNeighboursAreTaken() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    Node node = world.nodes.get(0);
    world.deliver(node, new AcceptanceEvent.NeighbourOffered(configuration(1, "other")));
    assertThat(node.digest(), is("base"));
    world.deliver(node, new AcceptanceEvent.NeighbourOffered(configuration(7, "newer")));
    assertThat(node.digest(), is("newer"));
    world.runWithoutFaults();
    assertThat("a table that is behind is not followed", node.digest(), is("newer"));
  }

  // Guards against an entry that stays without configuration because it does not read the folder.
  @Test
  void followingEntryLoadsTheAcceptedSnapshotAtStart() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    Node node = world.nodes.get(0);
    world.reset(node);
    world.deliver(node, new AcceptanceEvent.Started());
    world.store.put("a.toml", "one");
    world.runWithoutFaults();
    assertThat(node.digest(), is("base"));
    assertThat("it does not poll", node.timers.keySet(), is(empty()));
  }

  // Guards against a lost snapshot object that would block every later edit.
  @Test
  void lostSnapshotIsReplacedByTheNextAcceptance() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    world.store.loseSnapshot(world.store.row().get().row().objectName());
    Node node = world.nodes.get(0);
    world.restartPolling(node);
    world.runWithoutFaults();
    assertThat(node.digest(), is("base"));
    assertThat(generation(world), is(2L));
    assertThat(node.notices, not(empty()));
  }

  // Guards against a new entry that reads a large folder with one burst, and against one that
  // starts again from the first file whenever one of many reads fails.
  @Test
  void readsAreBoundedAndSurviveFailures() {
    AcceptanceSimulation world = new AcceptanceSimulation(SEED, 1);
    for (int i = 0; i < 300; i++) {
      world.store.put("%03d.toml".formatted(i), "x");
    }
    Random random = new Random(SEED);
    int[] reads = {0};
    world.faults =
        effect -> {
          reads[0] += effect instanceof AcceptanceEffect.ReadFile ? 1 : 0;
          return random.nextInt(20) == 0 ? Fault.UNAVAILABLE : Fault.NONE;
        };
    int most = 0;
    for (int i = 0; i < 20_000 && generation(world) == 0; i++) {
      world.step();
      most = Math.max(most, world.pending.size());
    }
    assertThat(generation(world), is(1L));
    assertThat("reads in flight, some of the round before", most, lessThanOrEqualTo(64));
    assertThat("reads of 300 files", reads[0], lessThanOrEqualTo(2_000));
  }

  // Guards against files of a failed round that undo what another entry accepted since, while the
  // listing is old.
  @Test
  void filesOfFailedRoundsAreDroppedWhenTheRowMoves() {
    AcceptanceSimulation world = simulationWithBaseAccepted(1);
    Node node = world.nodes.get(0);
    world.store.put("a.toml", "one");
    world.faults =
        effect ->
            node.state.phase() instanceof AcceptancePhase.RelistingFolder
                ? Fault.UNAVAILABLE
                : Fault.NONE;
    world.runUntil(found -> !found.state.partialRead().files().isEmpty());
    node.staleFolder = world.store.folder();
    node.staleListings = 100;
    world.store.put("a.toml", "two");
    acceptFolderAsOtherEntry(world, 2, "base;two");
    world.faults = effect -> Fault.NONE;
    world.run(60);
    assertThat("the listing is still old", node.staleListings, greaterThan(0));
    assertThat(node.digest(), is("base;two"));
    assertThat(generation(world), is(2L));
  }

  /** Accepts the folder as another entry does. */
  private static void acceptFolderAsOtherEntry(
      AcceptanceSimulation world, long generation, String digest) {
    AcceptedRow row =
        new AcceptedRow(
            new Generation(generation), digest, "accepted/other", new AttemptId("other"));
    world.store.write(
        row.objectName(),
        new AcceptedSnapshot(
            configuration(generation, digest),
            world
                .store
                .folder()
                .values()
                .toVector()
                .map(f -> new FileVersion(f.name(), f.version()))));
    assertThat(
        world.store.compareAndSet(world.store.row().get().version(), row).isDefined(), is(true));
  }

  private static AcceptanceSimulation simulationWithBaseAccepted(int entries) {
    AcceptanceSimulation world = new AcceptanceSimulation(SEED, entries);
    world.store.put("00-base.toml", "base");
    world.runWithoutFaults();
    assertThat(generation(world), is(1L));
    return world;
  }

  private static long generation(AcceptanceSimulation world) {
    return world.store.row().map(row -> row.row().generation().value()).getOrElse(0L);
  }

  private static AcceptedConfiguration configuration(long generation, String digest) {
    return new AcceptedConfiguration(
        new Generation(generation), digest, AcceptanceSimulation.CLUSTER);
  }
}
