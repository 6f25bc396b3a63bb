package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.Idempotency;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Feeds random requests and faults into the reducer. {@link Checks} holds the invariants after each
 * effect.
 */
class EntryInvariantsTest {
  private static final List<String> NAMES = List.of("a1", "a2", "b1", "b2", "s1", "s2");

  // Guards against a second or missing answer, untruthful not-run, reordered tokens, work for a
  // leaving endpoint, and a second start of non-idempotent work, under faults in any order.
  @Property(tries = 400, seed = "20261204")
  void invariantsHoldUnderFaultsInAnyOrder(
      @ForAll @Size(min = 5, max = 40) List<@IntRange(min = 0, max = 99_999) Integer> script) {
    World world = World.small();
    int number = 0;
    for (int code : script) {
      act(world, code, ++number);
      world.run(code / 200 % 40);
    }
    heal(world);
    world.run(20_000);
    world.checks.end();
  }

  private static void act(World world, int code, int number) {
    String name = NAMES.get(code / 20 % NAMES.size());
    switch (code % 20) {
      case 0, 1, 2, 3 -> world.reduce(Fixtures.prompt("m" + number, world.deadline(3_000)));
      case 4, 5 -> call(world, number, Idempotency.NON_IDEMPOTENT, Option.none());
      case 6, 7 -> call(world, number, Idempotency.IDEMPOTENT, Option.none());
      case 8, 9, 10 ->
          call(world, number, Idempotency.NON_IDEMPOTENT, Option.some("k" + code / 20 % 4));
      case 11 -> world.restart(name);
      case 12 -> world.crash(name);
      case 13 -> world.silence(name);
      case 14 -> world.dropConnection(name, DisconnectReason.CLOSED);
      case 15 -> world.leave(name);
      case 16 -> world.agent(name).stalled = !world.agent(name).stalled;
      case 17 -> {
        world.table.down = code / 20 % 2 == 0 && !world.table.down;
        world.table.losesResponses = code / 20 % 2 == 1 && !world.table.losesResponses;
      }
      case 18 -> disconnectCaller(world, code, number);
      default -> {
        world.agent(name).keepsOutputs = !world.agent(name).keepsOutputs;
        world.agent(name).failsCalls = !world.agent(name).failsCalls;
        world.brokenLinks.add(
            List.of(world.agent("a1").endpoint, world.agent("b" + (1 + code / 20 % 2)).endpoint));
      }
    }
  }

  private static void disconnectCaller(World world, int code, int number) {
    RequestId request = new RequestId("m" + Math.max(1, number - 1 - code / 20 % 3));
    if (world.state.requests().containsKey(request)) {
      world.reduce(new EntryEvent.CallerDisconnected(request));
    }
  }

  private static void call(World world, int number, Idempotency idempotency, Option<String> key) {
    world.reduce(Fixtures.call("c" + number, idempotency, key, world.deadline(2_000)));
  }

  private static void heal(World world) {
    world.table.down = false;
    world.table.losesResponses = false;
    world.brokenLinks.clear();
    NAMES.forEach(
        name -> {
          world.agent(name).stalled = false;
          if (!world.agent(name).up) {
            world.restart(name);
          }
        });
    world.list(world.agents.keySet(), Set.of());
  }
}
