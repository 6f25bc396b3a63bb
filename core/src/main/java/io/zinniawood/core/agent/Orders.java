package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.OrderState.FencingRead;
import io.zinniawood.core.agent.OrderState.PendingOrder;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.runtime.Step;

/**
 * Guards orders to the engine by their fencing number, also for engines that ignore it. One order
 * runs at a time, so that a lower number never follows a higher one.
 */
final class Orders {
  private static final long REREAD_DELAY_NANOS = 1_000_000_000;
  private static final int MAX_WAITING_ORDERS = 32;

  private Orders() {}

  /** Reads the number from the table when the agent starts. */
  static Step<AgentState, AgentEffect> readFencingNumber(AgentState state) {
    if (state.orders().fencingRead() != FencingRead.NOT_READ) {
      return Step.of(state);
    }
    return Step.of(
        state.withOrders(state.orders().withFencingRead(FencingRead.READING)),
        new AgentEffect.ReadFencingNumber());
  }

  static Step<AgentState, AgentEffect> receive(AgentState state, PeerId peer, Message.Order order) {
    OrderState orders = state.orders();
    Option<Message.OrderResult> known = orders.results().get(order.order());
    if (known.isDefined()) {
      return Step.of(state, new AgentEffect.Send(peer, known.get()));
    }
    if (orders.waiting().appendAll(orders.running()).exists(w -> sameOrder(w, order))) {
      return Step.of(state);
    }
    if (state.peers().get(peer).contains(PeerRole.AGENT)) {
      return refuse(state, peer, order, OrderOutcome.FAILED, "orders come from entries only");
    }
    if (state.leaving()) {
      return refuse(state, peer, order, OrderOutcome.FAILED, "the endpoint is leaving");
    }
    if (order.fencingNumber().compareTo(orders.highestSeen()) < 0) {
      return refuse(state, peer, order, OrderOutcome.STALE_FENCING_NUMBER, staleDetail(orders));
    }
    if (orders.waiting().size() >= MAX_WAITING_ORDERS) {
      return refuse(state, peer, order, OrderOutcome.FAILED, "too many orders wait");
    }
    OrderState next =
        orders
            .withSeen(order.fencingNumber())
            .withWaiting(orders.waiting().append(new PendingOrder(peer, order)));
    return ReducerSteps.then(readFencingNumber(state.withOrders(next)), Orders::passNext);
  }

  private static boolean sameOrder(PendingOrder waiting, Message.Order order) {
    return waiting.order().order().equals(order.order());
  }

  private static String staleDetail(OrderState orders) {
    return "the highest fencing number seen is " + orders.highestSeen();
  }

  private static Step<AgentState, AgentEffect> refuse(
      AgentState state, PeerId peer, Message.Order order, OrderOutcome outcome, String detail) {
    return Step.of(
        state,
        new AgentEffect.Send(peer, new Message.OrderResult(order.order(), outcome, detail)),
        ReducerSteps.log(NoticeKind.ORDER, order.order(), "%s: %s".formatted(outcome, detail)));
  }

  /** Passes the next order whose number is still the highest. */
  private static Step<AgentState, AgentEffect> passNext(AgentState state) {
    OrderState orders = state.orders();
    if (orders.fencingRead() != FencingRead.READ
        || orders.running().isDefined()
        || orders.waiting().isEmpty()) {
      return Step.of(state);
    }
    PendingOrder first = orders.waiting().head();
    AgentState shorter = state.withOrders(orders.withWaiting(orders.waiting().tail()));
    Message.Order order = first.order();
    if (order.fencingNumber().compareTo(orders.highestSeen()) < 0) {
      return ReducerSteps.then(
          refuse(
              shorter, first.peer(), order, OrderOutcome.STALE_FENCING_NUMBER, staleDetail(orders)),
          Orders::passNext);
    }
    return Step.of(
        shorter.withOrders(shorter.orders().withRunning(Option.some(first))),
        new AgentEffect.PassOrder(order.order(), order.fencingNumber(), order.action()),
        ReducerSteps.log(
            NoticeKind.ORDER, order.order(), "passed with number " + order.fencingNumber()));
  }

  static Step<AgentState, AgentEffect> fencingNumberRead(
      AgentState state, Option<FencingNumber> number) {
    if (number.isDefined()) {
      OrderState known = state.orders().withSeen(number.get()).withFencingRead(FencingRead.READ);
      return passNext(state.withOrders(known));
    }
    AgentEffect retry =
        new AgentEffect.StartTimer(new AgentTimer.FencingNumberRetry(), REREAD_DELAY_NANOS);
    Step<AgentState, AgentEffect> step =
        Step.of(state.withOrders(state.orders().withFencingRead(FencingRead.NOT_READ)), retry);
    for (PendingOrder waiting : state.orders().waiting()) {
      step =
          ReducerSteps.then(
              step,
              next ->
                  refuse(
                      next,
                      waiting.peer(),
                      waiting.order(),
                      OrderOutcome.FENCING_UNKNOWN,
                      "the controller lease cannot be read"));
    }
    AgentState next = step.state();
    return new Step<>(
        next.withOrders(next.orders().withWaiting(io.vavr.collection.Vector.empty())),
        step.effects());
  }

  static Step<AgentState, AgentEffect> completed(
      AgentState state, AttemptId id, OrderOutcome outcome, String detail) {
    Option<PendingOrder> running =
        state.orders().running().filter(w -> w.order().order().equals(id));
    if (running.isEmpty()) {
      return Step.of(state);
    }
    Message.OrderResult result = new Message.OrderResult(id, outcome, detail);
    AgentState next =
        state.withOrders(state.orders().withRunning(Option.none()).withResult(result));
    return ReducerSteps.then(
        Step.of(
            next,
            new AgentEffect.Send(running.get().peer(), result),
            new AgentEffect.ReadEngineStatus()),
        Orders::passNext);
  }
}
