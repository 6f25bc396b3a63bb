package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.AccountUsage;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.Idempotency;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;

/**
 * Feeds random requests and faults into the reducer. {@link EntryInvariants} checks the invariants
 * at each event and effect.
 */
class EntryInvariantsTest {
  private static final List<String> AGENT_NAMES = List.of("a1", "a2", "b1", "b2", "s1", "s2");

  // Guards against faults in any order, repeated or combined. Each invariant, with a change of the
  // code that makes this test fail:
  // - each request is answered exactly once: keep an ended request in the map of open requests
  //   (RequestCompletion.recordResult);
  // - not-run only when no copy can run: answer not-run when an incarnation is lost
  //   (AttemptFailures);
  // - tokens in order, no gap, none of another session: accept a token at any position
  //   (StageSessions.tokenReceived). The fakes send no late tokens; ModelRequestTest covers
  //   those of an old epoch or from another stage;
  // - no new work to a leaving endpoint: let a late status undo the leaving notice
  //   (AnnouncedState.withStatus);
  // - no second dispatch of a non-idempotent call unless the earlier attempt did not start: retry
  //   after a timeout (Attempts.agentUnreachable), or treat a release that the table did not
  //   answer as a tombstone (Claims);
  // - work in flight is always released: do not release a replaced stage (SessionRecovery).
  @Property(tries = 400, seed = "20261204")
  void invariantsHoldUnderFaultsInAnyOrder(@ForAll("scripts") List<Integer> script) {
    World world = World.small();
    play(world, script);
    removeFaults(world);
    world.run(20_000);
    world.invariants.checkFinalState();
  }

  // A request without an end, or with two, when the configuration changes between its events.
  @Property(tries = 400, seed = "20261205")
  void everyRequestHasOneEndWhateverConfigurationFollows(
      @ForAll("scripts") List<Integer> script, @ForAll long seed) {
    World world = World.small();
    ChangingConfiguration configuration = new ChangingConfiguration(world, seed);
    world.beforeEvent = configuration::changeSometimes;
    play(world, script);
    world.beforeEvent = () -> {};
    configuration.restore();
    removeFaults(world);
    world.run(20_000);
    world.invariants.checkFinalState();
    assertThat(world.incidents(IncidentKind.DECISION_FAILED), equalTo(0L));
    assertThat(
        world.state.usage().accounts().values().map(AccountUsage::openRequests).sum().intValue(),
        equalTo(0));
  }

  private static void play(World world, List<Integer> script) {
    int number = 0;
    for (int code : script) {
      applyAction(world, code, ++number);
      world.run(code / 200 % 40);
    }
  }

  // Guards against a not-run reply to the last copy of a call with an idempotency key although a
  // copy has run or runs later through another entry. Replies whose detail names an earlier copy
  // are exempt, as they state only that this copy did not run
  // (docs/decisions/0009-outcome-of-repeated-keys.md). Code changes that make this test fail:
  // - claim the key again with the fence that the release of another copy left
  //   (Claims.handleReleasedRow);
  // - answer a refused call without a tombstone (CallRefusals.refuse);
  // - answer not-run beyond the budget of tombstones, with a budget of 0 (CallRefusals.refuse);
  // - treat a release that the table did not answer as a tombstone
  //   (CallRefusals.tombstoneAnswered);
  // - answer not-run for an attempt whose agent cannot be reached (Attempts.agentUnreachable).
  @Property(tries = 400, seed = "20261204")
  void keyNotRunHoldsAcrossTwoEntries(@ForAll("scripts") List<Integer> script) {
    List<World> worlds = World.pairWithSharedTable();
    int number = 0;
    for (int code : script) {
      World entry = worlds.get(code % 2);
      String name = List.copyOf(entry.agents.keySet()).get(code / 2 % 2).value();
      switch (code / 4 % 10) {
        case 0 -> entry.crash(name);
        case 1 -> entry.restart(name);
        case 2 -> entry.leave(name);
        case 3 -> entry.agent(name).stalled = !entry.agent(name).stalled;
        case 4 -> entry.table.unavailable = !entry.table.unavailable;
        default ->
            entry.call(
                "c" + ++number, Idempotency.NON_IDEMPOTENT, Option.some("k" + code / 40 % 2));
      }
      World.run(worlds, code / 80 % 60 * (code / 4_800 % 8 == 0 ? 40 : 1));
    }
    World.run(worlds, 5_000);
  }

  @Provide
  Arbitrary<List<Integer>> scripts() {
    return Arbitraries.integers()
        .between(0, 99_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMinSize(5)
        .ofMaxSize(60);
  }

  private static void applyAction(World world, int code, int number) {
    String name = AGENT_NAMES.get(code / 20 % AGENT_NAMES.size());
    switch (code % 20) {
      case 0, 1, 2, 3 -> world.reduce(Fixtures.modelRequest("m" + number, world.deadline(3_000)));
      case 4, 5 -> world.call("c" + number, Idempotency.NON_IDEMPOTENT, Option.none());
      case 6, 7 -> world.call("c" + number, Idempotency.IDEMPOTENT, Option.none());
      case 8, 9, 10 ->
          world.call("c" + number, Idempotency.NON_IDEMPOTENT, Option.some("k" + code / 20 % 4));
      case 11 -> world.restart(name);
      case 12 -> world.crash(name);
      case 13 -> world.silence(name);
      case 14 -> world.dropConnection(name, DisconnectReason.CLOSED);
      case 15 -> world.leave(name);
      case 16 -> world.agent(name).stalled = !world.agent(name).stalled;
      case 17 -> {
        world.table.unavailable = code / 20 % 2 == 0 && !world.table.unavailable;
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

  private static void removeFaults(World world) {
    world.table.unavailable = false;
    world.table.losesResponses = false;
    world.brokenLinks.clear();
    AGENT_NAMES.forEach(
        name -> {
          world.agent(name).stalled = false;
          if (!world.agent(name).running) {
            world.restart(name);
          }
        });
    world.publishVmList(world.agents.keySet(), Set.of());
  }
}
