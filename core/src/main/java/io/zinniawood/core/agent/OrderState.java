package io.zinniawood.core.agent;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.message.Message;

/**
 * State of the engine orders.
 *
 * @param highestSeen highest fencing number in any order or lease so far
 * @param fencingRead whether the fencing number was read from the table since the start
 * @param waiting orders that wait for the engine, in order of arrival
 * @param running order that the engine is executing
 * @param results results of recent orders, oldest first
 */
record OrderState(
    FencingNumber highestSeen,
    FencingRead fencingRead,
    Vector<PendingOrder> waiting,
    Option<PendingOrder> running,
    Map<AttemptId, Message.OrderResult> results) {
  private static final int MAX_RESULTS = 64;

  /** Progress of reading the fencing number from the table. */
  enum FencingRead {
    /** Not read since the start. */
    NOT_READ,
    /** A read is in progress. */
    READING,
    /** Read since the start. */
    READ
  }

  /**
   * Order that has no result yet.
   *
   * @param peer entry that waits for the result
   * @param order the order
   */
  record PendingOrder(PeerId peer, Message.Order order) {}

  static OrderState initial() {
    return new OrderState(
        new FencingNumber(0),
        FencingRead.NOT_READ,
        Vector.empty(),
        Option.none(),
        LinkedHashMap.empty());
  }

  OrderState withSeen(FencingNumber number) {
    return number.compareTo(highestSeen) > 0
        ? new OrderState(number, fencingRead, waiting, running, results)
        : this;
  }

  OrderState withFencingRead(FencingRead value) {
    return new OrderState(highestSeen, value, waiting, running, results);
  }

  OrderState withWaiting(Vector<PendingOrder> value) {
    return new OrderState(highestSeen, fencingRead, value, running, results);
  }

  OrderState withRunning(Option<PendingOrder> value) {
    return new OrderState(highestSeen, fencingRead, waiting, value, results);
  }

  OrderState withResult(Message.OrderResult result) {
    Map<AttemptId, Message.OrderResult> more = results.put(result.order(), result);
    return new OrderState(
        highestSeen, fencingRead, waiting, running, more.size() > MAX_RESULTS ? more.tail() : more);
  }
}
