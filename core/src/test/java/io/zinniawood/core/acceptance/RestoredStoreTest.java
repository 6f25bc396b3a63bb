package io.zinniawood.core.acceptance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.zinniawood.core.acceptance.AcceptanceSimulation.Fault;
import io.zinniawood.core.acceptance.AcceptanceSimulation.Node;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Acceptance with a store that comes back from a copy. */
final class RestoredStoreTest {
  private static final String SEED = "20261205";
  private static final int FILES = 3;
  private static final List<Fault> FAULTS =
      List.copyOf(
          EnumSet.of(
              Fault.UNAVAILABLE, Fault.RESPONSE_LOST, Fault.NO_RESPONSE, Fault.PARTIAL_LISTING));

  /** Operator who edits files with rising numbers and writes lost edits again. */
  private static final class Operator {
    final int[] texts = new int[FILES];
    int last = 100;

    void edit(AcceptanceSimulation simulation, int file) {
      texts[file] = ++last;
      write(simulation, file);
    }

    void write(AcceptanceSimulation simulation, int file) {
      simulation.store.put("f%d.toml".formatted(file), Integer.toString(texts[file]));
    }

    void writeLostAgain(AcceptanceSimulation simulation) {
      for (int file = 0; file < FILES; file++) {
        String text = Integer.toString(texts[file]);
        if (!simulation
            .store
            .folder()
            .get("f%d.toml".formatted(file))
            .exists(found -> found.text().equals(text))) {
          write(simulation, file);
        }
      }
    }

    String digest() {
      return Vector.ofAll(texts).mkString(";");
    }
  }

  private static AcceptanceSimulation simulation(long seed, int entries, Operator operator) {
    AcceptanceSimulation simulation = new AcceptanceSimulation(seed, entries);
    for (int file = 0; file < FILES; file++) {
      operator.edit(simulation, file);
    }
    simulation.runWithoutFaults();
    return simulation;
  }

  private static void checkConverged(AcceptanceSimulation simulation, String digest) {
    for (Node node : simulation.nodes) {
      assertThat("digest in force on " + node.id, node.digest(), is(digest));
    }
  }

  private static void checkInForce(AcceptanceSimulation simulation, String digest) {
    checkConverged(simulation, digest);
    for (Node node : simulation.nodes) {
      int[] before = new int[FILES];
      for (AcceptedConfiguration configuration : node.published) {
        String[] texts = configuration.digest().split(";");
        for (int file = 0; file < FILES; file++) {
          int text = Integer.parseInt(texts[file]);
          if (text < before[file]) {
            throw new AssertionError(
                "%s went back from %d to %d".formatted(node.id, before[file], text));
          }
          before[file] = text;
        }
      }
    }
  }

  /** Gives all entries the configuration with the highest generation, as the peers do. */
  private static void distribute(AcceptanceSimulation simulation) {
    for (Node from : simulation.nodes) {
      for (Node to : simulation.nodes) {
        from.state
            .inForce()
            .forEach(c -> simulation.deliver(to, new AcceptanceEvent.NeighbourOffered(c)));
      }
    }
  }

  // Guards against "the table is stale" for ever: no edit after a restore came into force.
  @Test
  void editAfterTheStoreLostAnAcceptedConfigurationIsAccepted() {
    Operator operator = new Operator();
    AcceptanceSimulation simulation = simulation(1, 1, operator);
    operator.edit(simulation, 0);
    simulation.runWithoutFaults();
    simulation.store.restore(3);
    operator.edit(simulation, 1);
    operator.writeLostAgain(simulation);
    simulation.runWithoutFaults();
    checkInForce(simulation, operator.digest());
  }

  /** Lets a node read the folder for a time, as the holder of the lease does. */
  private static void poll(AcceptanceSimulation simulation, Node reader) {
    simulation.deliver(reader, new AcceptanceEvent.PollModeChanged(PollMode.POLLING));
    simulation.runWithoutFaults();
    distribute(simulation);
    simulation.deliver(reader, new AcceptanceEvent.PollModeChanged(PollMode.FOLLOWING));
  }

  /** Loses an edit that one node read, and the other one only has from its message. */
  private static void editAndRestore(
      AcceptanceSimulation simulation, Operator operator, Node reader, Node other) {
    simulation.deliver(reader, new AcceptanceEvent.PollModeChanged(PollMode.FOLLOWING));
    simulation.reset(other);
    operator.edit(simulation, 0);
    poll(simulation, reader);
    simulation.store.restore(3);
  }

  // Guards against dropping a lost file with the next edit of an entry that did not read it.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void editAfterRestoreKeepsFilesThatOnlyTheOtherEntryRead(boolean readerIsFirst) {
    Operator operator = new Operator();
    AcceptanceSimulation simulation = simulation(3, 2, operator);
    Node reader = simulation.nodes.get(0);
    Node other = simulation.nodes.get(1);
    editAndRestore(simulation, operator, reader, other);
    poll(simulation, readerIsFirst ? reader : other);
    poll(simulation, readerIsFirst ? other : reader);
    operator.edit(simulation, 1);
    poll(simulation, other);
    checkInForce(simulation, operator.digest());
  }

  // Guards against knowing a configuration, but not its texts, until the next poll.
  @Test
  void pollingEntryReadsTextsOfTheConfigurationThatItsPeerSends() {
    Operator operator = new Operator();
    AcceptanceSimulation simulation = simulation(4, 2, operator);
    Node other = simulation.nodes.get(1);
    simulation.runUntil(node -> other.state.phase() instanceof AcceptancePhase.Idle);
    other.timers.clear();
    operator.edit(simulation, 0);
    simulation.runUntil(node -> node.digest().equals(operator.digest()));
    distribute(simulation);
    assertThat(other.state.phase(), instanceOf(AcceptancePhase.ReadingRow.class));
  }

  // Guards against putting an older configuration in force until the operator writes it again.
  @Test
  void restoredFolderDoesNotReplaceNewerConfiguration() {
    Operator operator = new Operator();
    AcceptanceSimulation simulation = simulation(2, 2, operator);
    operator.edit(simulation, 0);
    operator.edit(simulation, 2);
    simulation.runWithoutFaults();
    simulation.store.restore(4);
    simulation.runWithoutFaults();
    checkInForce(simulation, operator.digest());
    operator.edit(simulation, 1);
    simulation.runWithoutFaults();
    checkInForce(simulation, operator.digest());
  }

  // Guards against configurations that go back, entries that do not converge to the newest edit and
  // generations given out twice, under restores at any moment with lost and late answers.
  @Property(tries = 1000, seed = SEED)
  void entriesConvergeToTheNewestEditAndNeverGoBack(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int entries) {
    Random random = new Random(seed);
    Operator operator = new Operator();
    AcceptanceSimulation simulation = simulation(seed, entries, operator);
    boolean allHadReadAllEdits = true;
    Set<Integer> edited = new HashSet<>();
    int setUp = simulation.store.changes();
    int faultPercent = random.nextInt(30);
    for (int restore = 0; restore < 1 + random.nextInt(3); restore++) {
      simulation.faults =
          effect ->
              random.nextInt(100) < faultPercent
                  ? FAULTS.get(random.nextInt(FAULTS.size()))
                  : Fault.NONE;
      for (int i = random.nextInt(5); i > 0; i--) {
        int next = random.nextInt(FILES);
        if (!edited.add(next)) {
          // A text that no entry read in time cannot be told from a new edit.
          simulation.runWithoutFaults();
          edited = new HashSet<>(Set.of(next));
        }
        operator.edit(simulation, next);
        simulation.run(random.nextInt(60));
      }
      distribute(simulation);
      if (random.nextBoolean()) {
        simulation.runWithoutFaults();
      } else {
        allHadReadAllEdits &= entries == 1;
      }
      simulation.store.restore(Math.min(random.nextInt(14), simulation.store.changes() - setUp));
      simulation.run(random.nextInt(40));
      int file = random.nextInt(FILES);
      if (random.nextBoolean() && edited.add(file)) {
        operator.edit(simulation, file);
        simulation.run(random.nextInt(40));
      }
      operator.writeLostAgain(simulation);
      if (random.nextBoolean()) {
        simulation.runWithoutFaults();
      }
    }
    simulation.runWithoutFaults();
    checkConverged(simulation, operator.digest());
    if (allHadReadAllEdits) {
      checkInForce(simulation, operator.digest());
    }
  }
}
