package io.zinniawood.core.acceptance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import io.zinniawood.core.acceptance.AcceptanceSimulation.Fault;
import io.zinniawood.core.acceptance.AcceptanceSimulation.Node;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class AcceptancePropertyTest {
  private static final String SEED = "20261204";
  private static final List<Fault> FAULTS =
      List.copyOf(EnumSet.complementOf(EnumSet.of(Fault.NONE)));

  // Guards against reverts, skipped generations, lost edits and entries that do not converge, under
  // random interleavings of edits, store faults and restarts.
  @Property(tries = 1500, seed = SEED)
  void entriesConvergeToTheLastCompleteEdit(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int entries) {
    Random random = new Random(seed);
    AcceptanceSimulation simulation = new AcceptanceSimulation(seed, entries);
    int faultPercent = random.nextInt(60);
    simulation.faults =
        effect ->
            random.nextInt(100) < faultPercent
                ? FAULTS.get(random.nextInt(FAULTS.size()))
                : Fault.NONE;
    int edits = 1 + random.nextInt(25);
    for (int i = 0; i < edits; i++) {
      edit(simulation, random);
      simulation.run(random.nextInt(60));
      if (random.nextInt(6) == 0) {
        simulation.restartPolling(simulation.nodes.get(random.nextInt(entries)));
      }
      if (random.nextInt(6) == 0) {
        deliverPeerConfiguration(simulation, random);
      }
      if (random.nextInt(6) == 0) {
        simulation.deliver(
            simulation.nodes.get(random.nextInt(entries)),
            new AcceptanceEvent.PollModeChanged(PollMode.FOLLOWING));
      }
    }
    simulation.nodes.forEach(
        node -> simulation.deliver(node, new AcceptanceEvent.PollModeChanged(PollMode.POLLING)));
    simulation.runWithoutFaults();

    MergeOutcome expected =
        AcceptanceSimulation.merge(simulation.store.folder().values().toVector());
    String inForce = simulation.nodes.get(0).digest();
    for (Node node : simulation.nodes) {
      assertThat("digest in force on each entry", node.digest(), is(inForce));
    }
    if (!simulation.store.folder().isEmpty() && expected instanceof MergeOutcome.Valid valid) {
      assertThat("digest in force after the last edit", inForce, is(valid.digest()));
    }
    assertThat(
        "digest of the accepted row",
        simulation.store.row().map(row -> row.row().digest()).getOrElse("none"),
        equalTo(inForce));
  }

  // Guards against two generations for one edit when several entries read it at the same time.
  @Property(tries = 300, seed = SEED)
  void concurrentEntriesAcceptAnEditOnce(@ForAll long seed) {
    AcceptanceSimulation simulation = new AcceptanceSimulation(seed, 4);
    simulation.store.put("a.toml", "1");
    simulation.runWithoutFaults();
    simulation.store.put("b.toml", "2");
    simulation.runWithoutFaults();
    Option<Long> generation = simulation.store.row().map(row -> row.row().generation().value());
    assertThat(generation, is(Option.of(2L)));
  }

  private static void edit(AcceptanceSimulation simulation, Random random) {
    String name = "f%d.toml".formatted(random.nextInt(5));
    int choice = random.nextInt(10);
    if (choice < 2) {
      simulation.store.remove(name);
    } else {
      simulation.store.put(name, choice == 2 ? "bad" : Integer.toString(random.nextInt(6)));
    }
  }

  private static void deliverPeerConfiguration(AcceptanceSimulation simulation, Random random) {
    Node from = simulation.nodes.get(random.nextInt(simulation.nodes.size()));
    Node to = simulation.nodes.get(random.nextInt(simulation.nodes.size()));
    from.state
        .inForce()
        .forEach(
            configuration ->
                simulation.deliver(to, new AcceptanceEvent.NeighbourOffered(configuration)));
  }
}
