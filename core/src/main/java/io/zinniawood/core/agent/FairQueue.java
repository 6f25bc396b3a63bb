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
 * calls in each round. All operations are persistent.
 *
 * @param accounts queues of the accounts with waiting attempts, in the order of their service
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
    int share = Math.max(1, weight);
    AccountQueue queue =
        accounts.get(account).getOrElse(new AccountQueue(Queue.empty(), share, share));
    AccountQueue longer = new AccountQueue(queue.attempts.append(attempt), share, queue.deficit);
    return new FairQueue(accounts.put(account, longer), size + 1);
  }

  /** Takes the next attempt. */
  Option<Tuple2<AttemptId, FairQueue>> poll() {
    return accounts.headOption().map(this::pollFrom);
  }

  private Tuple2<AttemptId, FairQueue> pollFrom(Tuple2<ClientAccountId, AccountQueue> head) {
    AccountQueue queue = head._2;
    Tuple2<AttemptId, Queue<AttemptId>> taken = queue.attempts.dequeue();
    int deficit = queue.deficit - 1;
    Map<ClientAccountId, AccountQueue> rest = accounts;
    if (taken._2.isEmpty()) {
      rest = accounts.remove(head._1);
    } else if (deficit > 0) {
      rest = accounts.put(head._1, new AccountQueue(taken._2, queue.weight, deficit));
    } else {
      AccountQueue nextRound = new AccountQueue(taken._2, queue.weight, queue.weight);
      rest = accounts.remove(head._1).put(head._1, nextRound);
    }
    return Tuple.of(taken._1, new FairQueue(rest, size - 1));
  }

  FairQueue remove(ClientAccountId account, AttemptId attempt) {
    Option<AccountQueue> queue = accounts.get(account).filter(q -> q.attempts.contains(attempt));
    if (queue.isEmpty()) {
      return this;
    }
    Queue<AttemptId> left = queue.get().attempts.remove(attempt);
    Map<ClientAccountId, AccountQueue> rest =
        left.isEmpty()
            ? accounts.remove(account)
            : accounts.put(account, queue.get().withAttempts(left));
    return new FairQueue(rest, size - 1);
  }

  /** Returns how many attempts are served up to and including a new one of the account. */
  long positionOfNew(ClientAccountId account, int weight) {
    int share = Math.max(1, weight);
    int ahead = accounts.get(account).map(q -> q.attempts.size()).getOrElse(0);
    long rounds = ahead / share + 1L;
    long position = ahead + 1L;
    for (Tuple2<ClientAccountId, AccountQueue> other : accounts) {
      if (!other._1.equals(account)) {
        position += Math.min(other._2.attempts.size(), rounds * other._2.weight);
      }
    }
    return position;
  }

  /** Returns the newest attempt of the account that holds the most places for its weight. */
  Option<AttemptId> newestOfLargestAccount() {
    return accounts
        .values()
        .maxBy(q -> (double) q.attempts.size() / q.weight)
        .map(q -> q.attempts.last());
  }

  /** Tells whether a new attempt of the account would leave it with fewer places than another. */
  boolean wouldStayBelowLargest(ClientAccountId account, int weight) {
    double own =
        (accounts.get(account).map(q -> q.attempts.size()).getOrElse(0) + 1.0)
            / Math.max(1, weight);
    return accounts.values().exists(q -> (double) q.attempts.size() / q.weight > own);
  }
}
