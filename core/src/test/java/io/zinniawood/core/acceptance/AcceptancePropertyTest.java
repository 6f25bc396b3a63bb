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

  // Guards against reverts, skipped generations, lost edits and entries that never agree, under
  // random interleavings of edits, store faults and restarts.
  @Property(tries = 1500, seed = SEED)
  void entriesConvergeToTheLastCompleteEdit(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int entries) {
    Random random = new Random(seed);
    AcceptanceSimulation world = new AcceptanceSimulation(seed, entries);
    int faultPercent = random.nextInt(60);
    world.faults =
        effect ->
            random.nextInt(100) < faultPercent
                ? FAULTS.get(random.nextInt(FAULTS.size()))
                : Fault.NONE;
    int edits = 1 + random.nextInt(25);
    for (int i = 0; i < edits; i++) {
      edit(world, random);
      world.run(random.nextInt(60));
      if (random.nextInt(6) == 0) {
        world.restartPolling(world.nodes.get(random.nextInt(entries)));
      }
      if (random.nextInt(6) == 0) {
        deliverPeerConfiguration(world, random);
      }
      if (random.nextInt(6) == 0) {
        world.deliver(
            world.nodes.get(random.nextInt(entries)),
            new AcceptanceEvent.PollModeChanged(PollMode.FOLLOWING));
      }
    }
    world.nodes.forEach(
        node -> world.deliver(node, new AcceptanceEvent.PollModeChanged(PollMode.POLLING)));
    world.runWithoutFaults();

    MergeOutcome expected = AcceptanceSimulation.merge(world.store.folder().values().toVector());
    String inForce = world.nodes.get(0).digest();
    for (Node node : world.nodes) {
      assertThat("all entries agree", node.digest(), is(inForce));
    }
    if (!world.store.folder().isEmpty() && expected instanceof MergeOutcome.Valid valid) {
      assertThat("the last edit is in force", inForce, is(valid.digest()));
    }
    assertThat(
        "the row names what is in force",
        world.store.row().map(row -> row.row().digest()).getOrElse("none"),
        equalTo(inForce));
  }

  // Guards against two generations for one edit when several entries see it at the same time.
  @Property(tries = 300, seed = SEED)
  void oneEditMakesOneGeneration(@ForAll long seed) {
    AcceptanceSimulation world = new AcceptanceSimulation(seed, 4);
    world.store.put("a.toml", "1");
    world.runWithoutFaults();
    world.store.put("b.toml", "2");
    world.runWithoutFaults();
    Option<Long> generation = world.store.row().map(row -> row.row().generation().value());
    assertThat(generation, is(Option.of(2L)));
  }

  private static void edit(AcceptanceSimulation world, Random random) {
    String name = "f%d.toml".formatted(random.nextInt(5));
    int choice = random.nextInt(10);
    if (choice < 2) {
      world.store.remove(name);
    } else {
      world.store.put(name, choice == 2 ? "bad" : Integer.toString(random.nextInt(6)));
    }
  }

  private static void deliverPeerConfiguration(AcceptanceSimulation world, Random random) {
    Node from = world.nodes.get(random.nextInt(world.nodes.size()));
    Node to = world.nodes.get(random.nextInt(world.nodes.size()));
    from.state
        .inForce()
        .forEach(
            configuration ->
                world.deliver(to, new AcceptanceEvent.NeighbourOffered(configuration)));
  }
}
