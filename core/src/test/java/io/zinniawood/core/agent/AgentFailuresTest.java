package io.zinniawood.core.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Outcome;
import org.junit.jupiter.api.Test;

/** Decisions that fail, provoked by values that break the contract of their type. */
final class AgentFailuresTest {
  // A call whose answer cannot be handled would keep its slot, and its caller would wait.
  @Test
  void callWhoseAnswerCannotBeHandledEndsWithUnknownOutcome() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    agent.receive(AgentDriver.dispatch("a1"));
    Vector<AgentEffect> effects =
        agent.apply(new AgentEvent.ServiceAnswered(new AttemptId("a1"), null));
    Message.DispatchRefused refused =
        AgentDriver.sentMessages(effects, Message.DispatchRefused.class).get();
    assertThat(refused.outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(AgentDriver.effectsOfType(effects, AgentEffect.Log.class).asJava(), hasSize(2));
    Vector<AgentEffect> next = agent.receive(AgentDriver.dispatch("a2"));
    assertThat(AgentDriver.effectsOfType(next, AgentEffect.CallService.class).asJava(), hasSize(1));
  }

  // The status of the endpoint would never be read or announced again.
  @Test
  void statusIsReadAgainAfterFailedTick() {
    AgentDriver agent = new AgentDriver(AgentDriver.properties("e1", 1, 0));
    agent.spoil();
    AgentTimer tick = new AgentTimer.StatusTick();
    Vector<AgentEffect> effects = agent.apply(new AgentEvent.TimerFired(tick));
    assertThat(
        AgentDriver.effectsOfType(effects, AgentEffect.StartTimer.class)
            .map(AgentEffect.StartTimer::timer)
            .asJava(),
        hasItem(tick));
  }
}
