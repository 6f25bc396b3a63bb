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
 * Checks the fencing numbers of engine orders, so that stale orders are refused even if the engine
 * ignores the numbers. One order runs at a time, so that no order follows one with a higher number.
 */
final class Orders {
  private static final long REREAD_DELAY_NANOS = 1_000_000_000;
  private static final int MAX_WAITING_ORDERS = 32;

  private Orders() {}

  /** Reads the fencing number from the table unless it was read or is being read. */
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
    Option<Message.OrderResult> result = orders.results().get(order.order());
    if (result.isDefined()) {
      return Step.of(state, new AgentEffect.Send(peer, result.get()));
    }
    if (orders.waiting().appendAll(orders.running()).exists(pending -> sameOrder(pending, order))) {
      return Step.of(state);
    }
    if (state.peers().get(peer).contains(PeerRole.AGENT)) {
      return refuse(
          state, peer, order, OrderOutcome.FAILED, "agents must not send orders; only entries may");
    }
    if (state.leaving()) {
      return refuse(
          state, peer, order, OrderOutcome.FAILED, "the endpoint is leaving and accepts no orders");
    }
    if (order.fencingNumber().compareTo(orders.highestSeen()) < 0) {
      return refuse(state, peer, order, OrderOutcome.STALE_FENCING_NUMBER, staleDetail(orders));
    }
    if (orders.waiting().size() >= MAX_WAITING_ORDERS) {
      return refuse(
          state,
          peer,
          order,
          OrderOutcome.FAILED,
          "the queue already holds " + MAX_WAITING_ORDERS + " orders");
    }
    OrderState next =
        orders
            .withSeen(order.fencingNumber())
            .withWaiting(orders.waiting().append(new PendingOrder(peer, order)));
    return ReducerSteps.then(readFencingNumber(state.withOrders(next)), Orders::passNext);
  }

  private static boolean sameOrder(PendingOrder pending, Message.Order order) {
    return pending.order().order().equals(order.order());
  }

  private static String staleDetail(OrderState orders) {
    return "the fencing number is lower than the highest one seen, " + orders.highestSeen();
  }

  private static Step<AgentState, AgentEffect> refuse(
      AgentState state, PeerId peer, Message.Order order, OrderOutcome outcome, String detail) {
    return Step.of(
        state,
        new AgentEffect.Send(peer, new Message.OrderResult(order.order(), outcome, detail)),
        ReducerSteps.log(NoticeKind.ORDER, order.order(), "%s: %s".formatted(outcome, detail)));
  }

  /** Passes the next waiting order to the engine; refuses those with a stale fencing number. */
  private static Step<AgentState, AgentEffect> passNext(AgentState state) {
    OrderState orders = state.orders();
    if (orders.fencingRead() != FencingRead.READ
        || orders.running().isDefined()
        || orders.waiting().isEmpty()) {
      return Step.of(state);
    }
    PendingOrder first = orders.waiting().head();
    AgentState dequeued = state.withOrders(orders.withWaiting(orders.waiting().tail()));
    Message.Order order = first.order();
    if (order.fencingNumber().compareTo(orders.highestSeen()) < 0) {
      return ReducerSteps.then(
          refuse(
              dequeued,
              first.peer(),
              order,
              OrderOutcome.STALE_FENCING_NUMBER,
              staleDetail(orders)),
          Orders::passNext);
    }
    return Step.of(
        dequeued.withOrders(dequeued.orders().withRunning(Option.some(first))),
        new AgentEffect.SubmitOrder(order.order(), order.fencingNumber(), order.action()),
        ReducerSteps.log(
            NoticeKind.ORDER,
            order.order(),
            "passed to the engine with fencing number " + order.fencingNumber()));
  }

  static Step<AgentState, AgentEffect> fencingNumberRead(
      AgentState state, Option<FencingNumber> number) {
    if (number.isDefined()) {
      OrderState updated = state.orders().withSeen(number.get()).withFencingRead(FencingRead.READ);
      return passNext(state.withOrders(updated));
    }
    AgentEffect retry =
        new AgentEffect.StartTimer(new AgentTimer.FencingNumberRetry(), REREAD_DELAY_NANOS);
    Step<AgentState, AgentEffect> step =
        Step.of(state.withOrders(state.orders().withFencingRead(FencingRead.NOT_READ)), retry);
    for (PendingOrder pending : state.orders().waiting()) {
      step =
          ReducerSteps.then(
              step,
              next ->
                  refuse(
                      next,
                      pending.peer(),
                      pending.order(),
                      OrderOutcome.FENCING_UNKNOWN,
                      "the controller lease could not be read from the table"));
    }
    AgentState next = step.state();
    return new Step<>(
        next.withOrders(next.orders().withWaiting(io.vavr.collection.Vector.empty())),
        step.effects());
  }

  static Step<AgentState, AgentEffect> completed(
      AgentState state, AttemptId id, OrderOutcome outcome, String detail) {
    Option<PendingOrder> running =
        state.orders().running().filter(pending -> pending.order().order().equals(id));
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
