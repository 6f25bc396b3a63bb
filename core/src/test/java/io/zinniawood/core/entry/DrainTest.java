package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import io.vavr.control.Option;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import org.junit.jupiter.api.Test;

/** Tests of the drain of an entry. */
class DrainTest {
  // Guards against a stop that interrupts a request, and against refusing requests that the
  // balancer sends before it has removed the entry.
  @Test
  void acceptsRequestsDuringGraceAndStopsAfterTheLastOne() {
    World world = World.small();
    world.reduce(new EntryEvent.DrainRequested());
    assertThat(
        world.effects(EntryEffect.SetReadiness.class),
        contains(
            new EntryEffect.SetReadiness(Readiness.READY),
            new EntryEffect.SetReadiness(Readiness.DRAINING)));
    world.run(2_980);
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    world.call("late", Idempotency.IDEMPOTENT, Option.none());
    var refused = world.effects(EntryEffect.ReplyProblem.class).get(0).problem();
    assertThat(refused.type(), equalTo(ProblemType.NOT_READY));
    assertThat(refused.outcome(), equalTo(Outcome.NOT_RUN));
    assertThat(world.effects(EntryEffect.StopProcess.class), hasSize(0));
    world.run(200);
    assertThat(world.effects(EntryEffect.FinishAnswer.class), hasSize(1));
    assertThat(world.effects(EntryEffect.StopProcess.class), hasSize(1));
  }

  // Guards against requests that the kill at the end of the grace period cuts without an answer.
  @Test
  void openRequestsAreAnsweredBeforeTheKill() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(600_000)));
    world.reduce(new EntryEvent.DrainRequested());
    world.reduce(new EntryEvent.TimerFired(new EntryTimer.DrainEnd()));
    assertThat(world.effects(EntryEffect.ReplyProblem.class), hasSize(1));
    assertThat(world.effects(EntryEffect.StopProcess.class), hasSize(1));
  }
}
