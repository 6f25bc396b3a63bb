package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.Backoff;
import io.zinniawood.core.entry.limits.ConcurrencyLimit;
import io.zinniawood.core.entry.limits.LatencyEstimate;
import io.zinniawood.core.entry.limits.RetryBudget;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of admission, adaptive limits and the retry budget. */
class LimitsTest {
  private final World world = new World(7);

  // Guards against an account that gets its whole limit at each of several entries, and against a
  // share that rounds down to no request at all.
  @Test
  void entryEnforcesItsShareButAtLeastOneRequest() {
    assertThat(countAdmitted(4, 9, 100), equalTo(2));
    assertThat(countAdmitted(4, 2, 100), equalTo(1));
    assertThat(countAdmitted(4, 100, 12), equalTo(3));
    assertThat(countAdmitted(1, 9, 100), equalTo(9));
  }

  private static int countAdmitted(int entries, int concurrent, int burst) {
    World world = new World(1);
    for (String name : List.of("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")) {
      world.add(name, Fixtures.creditCapability());
    }
    world.start();
    world.reduce(
        new EntryEvent.ConfigurationAccepted(
            Fixtures.accepted(
                2,
                Fixtures.cluster(
                    Fixtures.account(0.001, burst, concurrent), Fixtures.retryPolicy(10)))));
    Vector<VmEntry> vms =
        Vector.range(0, entries).map(i -> Fixtures.vm("n" + i, VmRole.ENTRY, VmState.LIVE));
    world.reduce(new EntryEvent.VmListReceived(100, vms));
    for (int i = 0; i < 30; i++) {
      world.reduce(
          Fixtures.serviceRequest(
              "c" + i, Idempotency.IDEMPOTENT, Option.none(), world.deadline(900)));
    }
    return world.sentMessages(Message.Dispatch.class, message -> true).size();
  }

  // Guards against admitting a request that will miss its deadline, and against refusing forever
  // once a target was slow.
  @Test
  void refusesEarlyByDeadlineAndRecovers() {
    world.add("s1", Fixtures.creditCapability());
    world.start();
    for (int i = 0; i < 12; i++) {
      call("c" + i, 900);
      world.run(100);
    }
    call("short", 20);
    assertThat(problems(), equalTo(List.of(ProblemType.OVERLOADED)));
    world.run(3_000);
    call("later", 20);
    assertThat(problems(), hasSize(1));
  }

  // Guards against more work at an endpoint than its limit, and against a refusal because one
  // endpoint is full while another has capacity.
  @Test
  void refusesWorkBeyondTheConcurrencyOfAllEndpoints() {
    world.add("s1", Fixtures.creditCapability());
    world.add("s2", Fixtures.creditCapability());
    world.start();
    for (int i = 0; i < 20; i++) {
      call("c" + i, 900);
    }
    assertThat(problems(), hasSize(4));
    world.run(2_000);
    world.invariants.checkFinalState();
  }

  // Guards against so many sessions at one endpoint that all of them miss the objective, or against
  // each of several entries filling the endpoint on its own.
  @Test
  void boundsSessionsByTheTokenGapOfTheObjective() {
    world.add("a1", Fixtures.stageCapability(0, Fixtures.LAYERS, 40));
    world.start();
    sendPrompts(10);
    assertThat(world.countSentTo("a1", Message.OpenSession.class), equalTo(3));
    world.run(200);
    Vector<VmEntry> vms =
        Vector.range(0, 5).map(i -> Fixtures.vm("n" + i, VmRole.ENTRY, VmState.LIVE));
    world.reduce(new EntryEvent.VmListReceived(100, vms));
    sendPrompts(10);
    assertThat(world.countSentTo("a1", Message.OpenSession.class), equalTo(4));
  }

  private void sendPrompts(int count) {
    for (int i = 0; i < count; i++) {
      world.reduce(Fixtures.modelRequest("m" + world.effects.size(), world.deadline(900)));
    }
  }

  // Guards against a limit that collapses on one burst of refusals or never grows again.
  @Test
  void concurrencyLimitFallsOncePerBurstAndGrowsBack() {
    ConcurrencyLimit limit = ConcurrencyLimit.initial(20);
    for (int i = 0; i < 10; i++) {
      limit = limit.afterOverload(1_000_000_000L + i);
    }
    assertThat(limit.value(), closeTo(16, 0.01));
    for (int i = 0; i < 400; i++) {
      limit = limit.afterSuccess(limit.toInt());
    }
    assertThat(limit.toInt(), equalTo(30));
    assertThat(ConcurrencyLimit.initial(1).afterOverload(5).toInt(), equalTo(1));
  }

  // Guards against retries that multiply an overload.
  @Test
  void retryBudgetIsShareOfRecentRequests() {
    RetryBudget budget = RetryBudget.initial();
    for (int i = 0; i < 100; i++) {
      budget = budget.withRequest(1);
    }
    int allowed = 0;
    while (budget.allows(0.1, 3, 2)) {
      budget = budget.withRetry(2);
      allowed++;
    }
    assertThat(allowed, equalTo(13));
    assertThat(budget.allows(0.1, 3, 6_000_000_000L), is(false));
    assertThat(budget.allows(0.1, 3, 30_000_000_000L), is(true));
  }

  // Guards against synchronized retries and against unbounded delays.
  @Test
  void delaysGrowWithJitterUpToTheMaximum() {
    assertThat(Backoff.delayNanos(1, 100, 5_000, 0), equalTo(50_000_000L));
    assertThat(Backoff.delayNanos(3, 100, 5_000, 0.999), greaterThan(390_000_000L));
    assertThat(Backoff.delayNanos(60, 100, 5_000, 0.999), lessThan(5_000_000_001L));
  }

  // Guards against early refusals that are based on too few samples.
  @Test
  void latencyEstimateNeedsSamplesAndDecays() {
    LatencyEstimate estimate = LatencyEstimate.empty();
    for (int i = 0; i < 9; i++) {
      estimate = estimate.withSample(100, 0);
    }
    assertThat(estimate.expectedNanos(0), equalTo(0.0));
    estimate = estimate.withSample(100, 0);
    assertThat(estimate.expectedNanos(0), closeTo(100, 1e-6));
    assertThat(estimate.expectedNanos(2_000_000_000L), closeTo(25, 1e-6));
  }

  private void call(String id, long millis) {
    world.reduce(
        Fixtures.serviceRequest(id, Idempotency.IDEMPOTENT, Option.none(), world.deadline(millis)));
  }

  private List<ProblemType> problems() {
    var replies = world.effects(EntryEffect.ReplyProblem.class);
    return replies.stream().map(reply -> reply.problem().type()).toList();
  }
}
