package io.zinniawood.core.agent;

import static io.zinniawood.core.agent.AgentDriver.effectsOfType;
import static io.zinniawood.core.agent.AgentDriver.sentMessages;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.EngineRole;
import io.zinniawood.core.model.OrderOutcome;
import org.junit.jupiter.api.Test;

class OrdersTest {
  private final AgentDriver agent = AgentDriver.serviceAgent(1);

  private Vector<AgentEffect> order(String id, long number) {
    return agent.receive(
        new Message.Order(
            new AttemptId(id),
            new FencingNumber(number),
            new EngineOrder.ChangeRole(EngineRole.DECODE)));
  }

  private Vector<AgentEffect> read(Option<Long> number) {
    return agent.apply(new AgentEvent.FencingNumberRead(number.map(FencingNumber::new)));
  }

  private Vector<AgentEffect> done(String id) {
    return agent.apply(
        new AgentEvent.OrderCompleted(new AttemptId(id), OrderOutcome.DONE, "changed"));
  }

  private static Vector<String> passed(Vector<AgentEffect> effects) {
    return effectsOfType(effects, AgentEffect.SubmitOrder.class).map(pass -> pass.order().value());
  }

  private static Vector<OrderOutcome> outcomes(Vector<AgentEffect> effects) {
    return sentMessages(effects, Message.OrderResult.class).map(Message.OrderResult::outcome);
  }

  // Guards against a restarted agent that passes an order of a former holder of the lease.
  @Test
  void ordersWaitUntilTheFencingNumberIsRead() {
    Vector<AgentEffect> effects = order("o1", 4);
    assertThat(passed(effects), equalTo(Vector.empty()));
    assertThat(effectsOfType(effects, AgentEffect.ReadFencingNumber.class).size(), equalTo(1));
    assertThat(
        outcomes(read(Option.some(5L))), equalTo(Vector.of(OrderOutcome.STALE_FENCING_NUMBER)));
    assertThat(passed(order("o2", 5)), equalTo(Vector.of("o2")));
  }

  // Guards against passing unchecked orders while the table is unavailable, and against a read that
  // is not retried.
  @Test
  void ordersAreRefusedWhileTheTableCannotBeRead() {
    order("o1", 4);
    assertThat(outcomes(read(Option.none())), equalTo(Vector.of(OrderOutcome.FENCING_UNKNOWN)));
    assertThat(
        effectsOfType(agent.advanceMillis(1_000), AgentEffect.ReadFencingNumber.class).size(),
        equalTo(1));
  }

  // Guards against passing a stale order after a newer one to an engine that ignores the numbers.
  @Test
  void orderWithLowerNumberIsNotPassedAfterHigherOne() {
    read(Option.some(4L));
    assertThat(passed(order("o1", 4)), equalTo(Vector.of("o1")));
    assertThat(passed(order("o2", 4)), equalTo(Vector.empty()));
    assertThat(passed(order("o3", 5)), equalTo(Vector.empty()));
    Vector<AgentEffect> next = done("o1");
    Vector<OrderOutcome> both = Vector.of(OrderOutcome.DONE, OrderOutcome.STALE_FENCING_NUMBER);
    assertThat(outcomes(next), equalTo(both));
    assertThat(passed(next), equalTo(Vector.of("o3")));
  }

  // Guards against executing an order twice when the entry resends it.
  @Test
  void repeatedOrderGetsTheStoredResult() {
    read(Option.some(1L));
    order("o1", 1);
    assertThat(order("o1", 1), equalTo(Vector.empty()));
    done("o1");
    Vector<AgentEffect> again = order("o1", 1);
    assertThat(passed(again), equalTo(Vector.empty()));
    assertThat(outcomes(again), equalTo(Vector.of(OrderOutcome.DONE)));
  }
}
