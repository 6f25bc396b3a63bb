package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.OrderState.Relearned;
import io.zinniawood.core.agent.OrderState.Waiting;
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
  private static final long REREAD_NANOS = 1_000_000_000;
  private static final int MAX_WAITING = 32;

  private Orders() {}

  /** Reads the number from the table when the agent starts. */
  static Step<AgentState, AgentEffect> relearn(AgentState state) {
    if (state.orders().relearned() != Relearned.NO) {
      return Step.of(state);
    }
    return Step.of(
        state.withOrders(state.orders().withRelearned(Relearned.READING)),
        new AgentEffect.ReadFencingNumber());
  }

  static Step<AgentState, AgentEffect> order(AgentState state, PeerId peer, Message.Order order) {
    OrderState orders = state.orders();
    Option<Message.OrderResult> known = orders.results().get(order.order());
    if (known.isDefined()) {
      return Step.of(state, new AgentEffect.Send(peer, known.get()));
    }
    if (orders.waiting().appendAll(orders.running()).exists(w -> sameOrder(w, order))) {
      return Step.of(state);
    }
    if (state.peers().get(peer).contains(PeerRole.AGENT)) {
      return refused(state, peer, order, OrderOutcome.FAILED, "orders come from entries only");
    }
    if (state.leaving()) {
      return refused(state, peer, order, OrderOutcome.FAILED, "the endpoint is leaving");
    }
    if (order.fencingNumber().compareTo(orders.highest()) < 0) {
      return refused(state, peer, order, OrderOutcome.STALE_FENCING_NUMBER, stale(orders));
    }
    if (orders.waiting().size() >= MAX_WAITING) {
      return refused(state, peer, order, OrderOutcome.FAILED, "too many orders wait");
    }
    OrderState next =
        orders
            .seen(order.fencingNumber())
            .withWaiting(orders.waiting().append(new Waiting(peer, order)));
    return Change.then(relearn(state.withOrders(next)), Orders::passNext);
  }

  private static boolean sameOrder(Waiting waiting, Message.Order order) {
    return waiting.order().order().equals(order.order());
  }

  private static String stale(OrderState orders) {
    return "the highest fencing number seen is " + orders.highest();
  }

  private static Step<AgentState, AgentEffect> refused(
      AgentState state, PeerId peer, Message.Order order, OrderOutcome outcome, String detail) {
    return Step.of(
        state,
        new AgentEffect.Send(peer, new Message.OrderResult(order.order(), outcome, detail)),
        Change.log(NoticeKind.ORDER, order.order(), "%s: %s".formatted(outcome, detail)));
  }

  /** Passes the next order whose number is still the highest. */
  private static Step<AgentState, AgentEffect> passNext(AgentState state) {
    OrderState orders = state.orders();
    if (orders.relearned() != Relearned.YES
        || orders.running().isDefined()
        || orders.waiting().isEmpty()) {
      return Step.of(state);
    }
    Waiting first = orders.waiting().head();
    AgentState shorter = state.withOrders(orders.withWaiting(orders.waiting().tail()));
    Message.Order order = first.order();
    if (order.fencingNumber().compareTo(orders.highest()) < 0) {
      return Change.then(
          refused(shorter, first.peer(), order, OrderOutcome.STALE_FENCING_NUMBER, stale(orders)),
          Orders::passNext);
    }
    return Step.of(
        shorter.withOrders(shorter.orders().withRunning(Option.some(first))),
        new AgentEffect.SubmitOrder(order.order(), order.fencingNumber(), order.action()),
        Change.log(NoticeKind.ORDER, order.order(), "passed with number " + order.fencingNumber()));
  }

  static Step<AgentState, AgentEffect> numberRead(AgentState state, Option<FencingNumber> number) {
    if (number.isDefined()) {
      OrderState known = state.orders().seen(number.get()).withRelearned(Relearned.YES);
      return passNext(state.withOrders(known));
    }
    AgentEffect retry = new AgentEffect.StartTimer(new AgentTimer.FencingRetry(), REREAD_NANOS);
    Step<AgentState, AgentEffect> step =
        Step.of(state.withOrders(state.orders().withRelearned(Relearned.NO)), retry);
    for (Waiting waiting : state.orders().waiting()) {
      step =
          Change.then(
              step,
              next ->
                  refused(
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
    Option<Waiting> running = state.orders().running().filter(w -> w.order().order().equals(id));
    if (running.isEmpty()) {
      return Step.of(state);
    }
    Message.OrderResult result = new Message.OrderResult(id, outcome, detail);
    AgentState next =
        state.withOrders(state.orders().withRunning(Option.none()).withResult(result));
    return Change.then(
        Step.of(
            next,
            new AgentEffect.Send(running.get().peer(), result),
            new AgentEffect.ReadEngineStatus()),
        Orders::passNext);
  }
}
