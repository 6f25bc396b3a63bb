package io.zinniawood.core.waiting;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Refused requests of a service whose callers are expected to return. A caller that returns before
 * its Retry-After is treated as a new one.
 */
public final class ExpectedReturns {
  /** Twice the length of the queue; an entry takes about 200 bytes. */
  private static final int MAX_RETURNS = 1_024;

  /** An account with many refusals must not fill the list, nor the queue with its returns. */
  private static final int MAX_RETURNS_PER_ACCOUNT = 64;

  /** Time after the Retry-After in which a caller returns. */
  private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Jitter of the network and of the caller's timer, by which a return may be early. */
  private static final long EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private record Caller(Optional<ClientAccountId> account, RequestFingerprint fingerprint) {}

  /** Oldest first. */
  private final Map<Caller, Long> returnNanosByCaller = new LinkedHashMap<>();

  private final Map<Optional<ClientAccountId>, Integer> returnsByAccount = new HashMap<>();

  /** Returns the number of expected returns. */
  public int size() {
    return returnNanosByCaller.size();
  }

  /** Returns whether a caller of an account is expected to return. */
  public boolean expected(Optional<ClientAccountId> account) {
    return returnsByAccount.containsKey(account);
  }

  /** Records a refusal with a Retry-After. */
  public void refused(
      Optional<ClientAccountId> account,
      RequestFingerprint fingerprint,
      long nowNanos,
      long retryAfterMillis) {
    removeExpired(nowNanos);
    Caller caller = new Caller(account, fingerprint);
    if (returnNanosByCaller.remove(caller) != null) {
      countDown(account);
    }
    if (returnsByAccount.getOrDefault(account, 0) >= MAX_RETURNS_PER_ACCOUNT) {
      return;
    }
    if (returnNanosByCaller.size() == MAX_RETURNS) {
      Caller oldest = returnNanosByCaller.keySet().iterator().next();
      returnNanosByCaller.remove(oldest);
      countDown(oldest.account());
    }
    returnNanosByCaller.put(caller, nowNanos + TimeUnit.MILLISECONDS.toNanos(retryAfterMillis));
    returnsByAccount.merge(account, 1, Integer::sum);
  }

  /** Returns whether a request is an expected return, which is then no longer expected. */
  public boolean returned(
      Optional<ClientAccountId> account, RequestFingerprint fingerprint, long nowNanos) {
    removeExpired(nowNanos);
    Caller caller = new Caller(account, fingerprint);
    Long returnNanos = returnNanosByCaller.get(caller);
    boolean due = returnNanos != null && nowNanos - returnNanos >= -EARLY_NANOS;
    if (due) {
      returnNanosByCaller.remove(caller);
      countDown(account);
    }
    return due;
  }

  private void countDown(Optional<ClientAccountId> account) {
    returnsByAccount.computeIfPresent(account, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Removes the oldest entries that have expired; their order is nearly that of their expiry. */
  private void removeExpired(long nowNanos) {
    Iterator<Map.Entry<Caller, Long>> entries = returnNanosByCaller.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Caller, Long> entry = entries.next();
      if (nowNanos - entry.getValue() <= RETURN_NANOS) {
        return;
      }
      entries.remove();
      countDown(entry.getKey().account());
    }
  }
}
