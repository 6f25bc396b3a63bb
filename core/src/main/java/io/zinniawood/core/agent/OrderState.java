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
 * @param highest highest fencing number seen
 * @param relearned whether the table was read since the start
 * @param waiting orders that wait, in order of arrival
 * @param running order that the engine carries out
 * @param results results of recent orders
 */
record OrderState(
    FencingNumber highest,
    Relearned relearned,
    Vector<Waiting> waiting,
    Option<Waiting> running,
    Map<AttemptId, Message.OrderResult> results) {
  private static final int MAX_RESULTS = 64;

  /** Knowledge of the fencing number in the table. */
  enum Relearned {
    /** Not read since the start. */
    NO,
    /** A read is in progress. */
    READING,
    /** Read. */
    YES
  }

  /**
   * Order that has no result.
   *
   * @param peer entry that waits for the result
   * @param order the order
   */
  record Waiting(PeerId peer, Message.Order order) {}

  static OrderState initial() {
    return new OrderState(
        new FencingNumber(0), Relearned.NO, Vector.empty(), Option.none(), LinkedHashMap.empty());
  }

  OrderState seen(FencingNumber number) {
    return number.compareTo(highest) > 0
        ? new OrderState(number, relearned, waiting, running, results)
        : this;
  }

  OrderState withRelearned(Relearned value) {
    return new OrderState(highest, value, waiting, running, results);
  }

  OrderState withWaiting(Vector<Waiting> value) {
    return new OrderState(highest, relearned, value, running, results);
  }

  OrderState withRunning(Option<Waiting> value) {
    return new OrderState(highest, relearned, waiting, value, results);
  }

  OrderState withResult(Message.OrderResult result) {
    Map<AttemptId, Message.OrderResult> more = results.put(result.order(), result);
    return new OrderState(
        highest, relearned, waiting, running, more.size() > MAX_RESULTS ? more.tail() : more);
  }
}
