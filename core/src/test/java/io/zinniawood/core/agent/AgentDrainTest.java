package io.zinniawood.core.agent;

import static io.zinniawood.core.agent.AgentDriver.ANSWER;
import static io.zinniawood.core.agent.AgentDriver.dispatch;
import static io.zinniawood.core.agent.AgentDriver.effectsOfType;
import static io.zinniawood.core.agent.AgentDriver.keyed;
import static io.zinniawood.core.agent.AgentDriver.sentMessages;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import org.junit.jupiter.api.Test;

class AgentDrainTest {
  private final AgentDriver agent = AgentDriver.serviceAgent(1);

  private static int stops(Vector<AgentEffect> effects) {
    return effectsOfType(effects, AgentEffect.Stop.class).size();
  }

  private static Vector<RefusalReason> reasons(Vector<AgentEffect> effects) {
    return sentMessages(effects, Message.DispatchRefused.class)
        .map(Message.DispatchRefused::reason);
  }

  // Guards against entries that keep dispatching calls because the drain was not announced, and
  // against queued calls that are not refused when the drain starts.
  @Test
  void drainAnnouncesLeavingToAllPeersAndRefusesQueuedCalls() {
    agent.apply(new AgentEvent.PeerConnected(new PeerId("e2", new Incarnation(2)), PeerRole.AGENT));
    agent.receive(dispatch("a1"));
    agent.receive(dispatch("a2"));
    Vector<AgentEffect> effects = agent.apply(new AgentEvent.DrainRequested());
    assertThat(
        sentMessages(effects, Message.Status.class).map(Message.Status::state),
        equalTo(Vector.of(ServingState.LEAVING, ServingState.LEAVING)));
    assertThat(reasons(effects), equalTo(Vector.of(RefusalReason.LEAVING)));
    assertThat(reasons(agent.receive(dispatch("a3"))), equalTo(Vector.of(RefusalReason.LEAVING)));
    assertThat(stops(effects), equalTo(0));
    assertThat(
        stops(agent.apply(new AgentEvent.ServiceAnswered(new AttemptId("a1"), ANSWER))),
        equalTo(1));
  }

  private void answerKeyedCall() {
    AttemptId id = new AttemptId("a1");
    agent.receive(keyed("a1", "k", 0));
    agent.apply(new AgentEvent.ClaimWritten(id, new ClaimWriteResult.Claimed()));
    agent.apply(new AgentEvent.ServiceAnswered(id, ANSWER));
    assertThat(stops(agent.apply(new AgentEvent.DrainRequested())), equalTo(0));
  }

  private int stopsAfterStore(StoreWriteResult result) {
    return stops(agent.apply(new AgentEvent.AnswerStored(new AttemptId("a1"), result)));
  }

  // Guards against a process that stops before the answer of a call with a key is stored.
  @Test
  void drainWaitsForAnswersToBeStored() {
    answerKeyedCall();
    assertThat(stopsAfterStore(StoreWriteResult.DONE), equalTo(1));
  }

  // Guards against a drain that never ends because the table is unavailable.
  @Test
  void drainGivesUpStoringAnswersAfterTimeout() {
    answerKeyedCall();
    agent.advanceMillis(29_000);
    assertThat(stopsAfterStore(StoreWriteResult.FAILED), equalTo(0));
    agent.advanceMillis(1_000);
    assertThat(stopsAfterStore(StoreWriteResult.FAILED), equalTo(1));
  }

  // Guards against routing to an endpoint whose service does not answer, and against removing an
  // endpoint from routing after a single lost response.
  @Test
  void threeMissedStatusesSetTheServingStateToStarting() {
    Vector<AgentEffect> effects = Vector.empty();
    for (int missed = 1; missed <= 3; missed++) {
      assertThat(sentMessages(effects, Message.Status.class), equalTo(Vector.empty()));
      effects = agent.apply(new AgentEvent.EngineUnavailable());
    }
    assertThat(
        sentMessages(effects, Message.Status.class).single().state(),
        equalTo(ServingState.STARTING));
  }
}
