package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the outcome of keyed calls that the entry refuses after their admission. */
class RepeatedKeyTest {
  private final World world = World.small();

  // Guards against an unknown outcome, or not-run without a tombstone, when the key is unused.
  @Test
  void unusedKeyEndsNotRunAfterTombstone() {
    removeEndpoints();
    callWithKey("c1", "k", 100);
    assertEnded("c1", ProblemType.NO_ENDPOINT, Outcome.NOT_RUN);
    assertThat(world.effects(EntryEffect.ReleaseClaim.class), hasSize(1));
  }

  // Guards against not-run for a key whose first call finished, runs or was lost, and against an
  // answer for a key of another request.
  @Test
  void refusedCallIsAnsweredFromTheClaimRow() {
    callWithKey("finished", "f", 100);
    callWithKey("running", "r", 10);
    removeEndpoints();
    callWithKey("f2", "f", 5);
    callWithKey("r2", "r", 5);
    callWithKey("other", "f/other", 100);
    assertThat(
        world.effects(EntryEffect.ReplyServiceAnswer.class).stream()
            .map(r -> r.request().value())
            .toList(),
        equalTo(List.of("finished", "f2", "running", "r2")));
    assertEnded("other", ProblemType.KEY_REUSED, Outcome.NOT_RUN);
  }

  // Guards against not-run for a call that was started by an incarnation that has ended.
  @Test
  void callStartedByEndedIncarnationEndsUnknown() {
    callWithKey("c1", "k", 10);
    for (String name : List.of("s1", "s2")) {
      world.restart(name);
      world.leave(name);
    }
    world.run(1_500);
    callWithKey("c2", "k", 100);
    assertEnded("c2", ProblemType.ENDPOINT_FAILED, Outcome.UNKNOWN);
  }

  // Guards against not-run, or a wait to the deadline, when the table is down or does not answer.
  @Test
  void unavailableTableEndsUnknown() {
    removeEndpoints();
    world.table.unavailable = true;
    callWithKey("down", "k", 10);
    assertEnded("down", ProblemType.STORE_UNAVAILABLE, Outcome.UNKNOWN);
    world.table.unresponsive = true;
    callWithKey("silent", "k", 1_000);
    assertEnded("silent", ProblemType.STORE_UNAVAILABLE, Outcome.UNKNOWN);
    world.reduce(
        Fixtures.serviceRequest(
            "late", Idempotency.NON_IDEMPOTENT, Option.some("k"), world.deadline(50)));
    world.run(50);
    assertEnded("late", ProblemType.STORE_UNAVAILABLE, Outcome.UNKNOWN);
  }

  // Guards against not-run without a tombstone when no attempt started before the deadline.
  @Test
  void notStartedAttemptsEndNotRunAfterTombstone() {
    world.agent("s1").stalled = true;
    world.agent("s2").stalled = true;
    callWithKey("c1", "k", 2_000);
    assertThat(world.problem("c1").outcome(), equalTo(Outcome.NOT_RUN));
    assertThat(world.effects(EntryEffect.ReleaseClaim.class), hasSize(1));
    world.invariants.checkFinalState();
  }

  // Guards against refusals that use up the write capacity of the table under overload.
  @Test
  void tombstoneWritesAreLimited() {
    removeEndpoints();
    for (int i = 0; i < 64; i++) {
      callWithKey("c" + i, "k" + i, 10);
    }
    assertThat(world.effects(EntryEffect.ReleaseClaim.class), hasSize(10));
    assertEnded("c63", ProblemType.STORE_UNAVAILABLE, Outcome.UNKNOWN);
    world.run(400);
    callWithKey("next", "n", 10);
    assertEnded("next", ProblemType.NO_ENDPOINT, Outcome.NOT_RUN);
  }

  // Guards against polls of held keys that use up the write capacity of the table, or the budget
  // for refusals.
  @Test
  void pollsOfHeldKeysAreLimited() {
    callWithKey("first", "k", 10);
    world.crash("s1");
    world.crash("s2");
    world.run(1_000);
    // In 1.8 s: two windows of 10 writes, and 4 polls for the first call's own attempt.
    int before = world.effects(EntryEffect.ReleaseClaim.class).size();
    for (int i = 0; i < 40; i++) {
      callWithKey("c" + i, "k", 45);
    }
    assertThat(
        world.effects(EntryEffect.ReleaseClaim.class).size() - before, lessThanOrEqualTo(24));
    world.run(2_000);
    assertEnded("c0", ProblemType.IN_PROGRESS, Outcome.UNKNOWN);
  }

  // Guards against a refusal by admission that writes to the table or covers earlier copies.
  @Test
  void refusalByAdmissionCoversOnlyThisCopy() {
    callWithKey("c1", "k", 100);
    world.reduce(
        Fixtures.serviceRequest(
            "c2", Idempotency.NON_IDEMPOTENT, Option.some("k"), world.nowNanos));
    assertThat(world.problem("c2").detail(), containsString("earlier copy"));
    assertThat(world.effects(EntryEffect.ReleaseClaim.class), hasSize(0));
  }

  private void removeEndpoints() {
    world.leave("s1");
    world.leave("s2");
    world.run(2);
  }

  private void callWithKey(String id, String key, long runMillis) {
    world.call(id, Idempotency.NON_IDEMPOTENT, Option.some(key));
    world.run(runMillis);
  }

  private void assertEnded(String request, ProblemType type, Outcome outcome) {
    assertThat(world.problem(request).type(), equalTo(type));
    assertThat(world.problem(request).outcome(), equalTo(outcome));
  }
}
