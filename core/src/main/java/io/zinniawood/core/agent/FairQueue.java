package io.zinniawood.core.agent;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;

/**
 * Queue of attempts by client account, served by deficit round robin: an account of weight w gets w
 * calls in each round. The queue is a persistent data structure.
 *
 * @param accounts queues of the accounts with waiting attempts, in service order
 * @param size number of waiting attempts
 */
record FairQueue(Map<ClientAccountId, AccountQueue> accounts, int size) {
  /**
   * Waiting attempts of one account.
   *
   * @param attempts attempts in order of arrival
   * @param weight calls in each round, at least 1
   * @param deficit calls left in this round
   */
  record AccountQueue(Queue<AttemptId> attempts, int weight, int deficit) {
    AccountQueue withAttempts(Queue<AttemptId> value) {
      return new AccountQueue(value, weight, deficit);
    }
  }

  static FairQueue empty() {
    return new FairQueue(LinkedHashMap.empty(), 0);
  }

  FairQueue add(ClientAccountId account, int weight, AttemptId attempt) {
    int positiveWeight = Math.max(1, weight);
    AccountQueue queue =
        accounts
            .get(account)
            .getOrElse(new AccountQueue(Queue.empty(), positiveWeight, positiveWeight));
    AccountQueue longer =
        new AccountQueue(queue.attempts.append(attempt), positiveWeight, queue.deficit);
    return new FairQueue(accounts.put(account, longer), size + 1);
  }

  /** Returns the next attempt and the queue without it; empty if the queue is empty. */
  Option<Tuple2<AttemptId, FairQueue>> poll() {
    return accounts.headOption().map(this::pollFrom);
  }

  private Tuple2<AttemptId, FairQueue> pollFrom(Tuple2<ClientAccountId, AccountQueue> head) {
    AccountQueue queue = head._2;
    Tuple2<AttemptId, Queue<AttemptId>> polled = queue.attempts.dequeue();
    int deficit = queue.deficit - 1;
    Map<ClientAccountId, AccountQueue> remaining = accounts;
    if (polled._2.isEmpty()) {
      remaining = accounts.remove(head._1);
    } else if (deficit > 0) {
      remaining = accounts.put(head._1, new AccountQueue(polled._2, queue.weight, deficit));
    } else {
      AccountQueue nextRound = new AccountQueue(polled._2, queue.weight, queue.weight);
      remaining = accounts.remove(head._1).put(head._1, nextRound);
    }
    return Tuple.of(polled._1, new FairQueue(remaining, size - 1));
  }

  FairQueue remove(ClientAccountId account, AttemptId attempt) {
    Option<AccountQueue> queue = accounts.get(account).filter(q -> q.attempts.contains(attempt));
    if (queue.isEmpty()) {
      return this;
    }
    Queue<AttemptId> left = queue.get().attempts.remove(attempt);
    Map<ClientAccountId, AccountQueue> remaining =
        left.isEmpty()
            ? accounts.remove(account)
            : accounts.put(account, queue.get().withAttempts(left));
    return new FairQueue(remaining, size - 1);
  }

  /** Returns the position in service order, from 1, that a new attempt of the account would get. */
  long positionOfNew(ClientAccountId account, int weight) {
    int positiveWeight = Math.max(1, weight);
    int ahead = accounts.get(account).map(q -> q.attempts.size()).getOrElse(0);
    long rounds = ahead / positiveWeight + 1L;
    long position = ahead + 1L;
    for (Tuple2<ClientAccountId, AccountQueue> other : accounts) {
      if (!other._1.equals(account)) {
        position += Math.min(other._2.attempts.size(), rounds * other._2.weight);
      }
    }
    return position;
  }

  /** Returns the newest attempt of the account with the most queued attempts per weight. */
  Option<AttemptId> newestOfLargestAccount() {
    return accounts
        .values()
        .maxBy(q -> (double) q.attempts.size() / q.weight)
        .map(q -> q.attempts.last());
  }

  /**
   * Returns whether the account, with a new attempt, has fewer attempts per weight than another.
   */
  boolean wouldStayBelowLargest(ClientAccountId account, int weight) {
    double own =
        (accounts.get(account).map(q -> q.attempts.size()).getOrElse(0) + 1.0)
            / Math.max(1, weight);
    return accounts.values().exists(q -> (double) q.attempts.size() / q.weight > own);
  }
}
