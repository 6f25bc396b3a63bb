package io.zinniawood.core.relay;

import io.zinniawood.core.id.ServiceName;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of requests to a service. The platform's budget covers all relays together;
 * each keeps to a ratio of its own requests plus a small reserve, without coordination.
 */
final class RetryBudget {
  /** Sliding window in which retries are counted; the platform specifies ten seconds. */
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Maximum retries per request. Below the platform's limit of 0.2, as the windows of two nodes are
   * not aligned.
   */
  private static final double MAX_RETRY_RATIO = 0.15;

  /**
   * Retries allowed beyond the ratio. With ten relays the sum stays within the platform's
   * allowance.
   */
  private static final int RETRY_RESERVE = 16;

  private final Map<ServiceName, Window> windows = new HashMap<>();

  private static final class Window {
    final Deque<Long> requestNanos = new ArrayDeque<>();
    final Deque<Long> retryNanos = new ArrayDeque<>();

    void expire(long nowNanos) {
      while (!requestNanos.isEmpty() && nowNanos - requestNanos.peekFirst() > WINDOW_NANOS) {
        requestNanos.removeFirst();
      }
      while (!retryNanos.isEmpty() && nowNanos - retryNanos.peekFirst() > WINDOW_NANOS) {
        retryNanos.removeFirst();
      }
    }
  }

  /** Counts a new request, which increases the budget. */
  void recordRequest(ServiceName service, long nowNanos) {
    window(service, nowNanos).requestNanos.addLast(nowNanos);
  }

  /** Acquires a retry from the budget; returns false if it is used up. */
  boolean tryAcquire(ServiceName service, long nowNanos) {
    Window window = window(service, nowNanos);
    if (window.retryNanos.size() >= MAX_RETRY_RATIO * window.requestNanos.size() + RETRY_RESERVE) {
      return false;
    }
    window.retryNanos.addLast(nowNanos);
    return true;
  }

  /** Returns the last retry to the budget, as it did not reach an endpoint. */
  void release(ServiceName service, long nowNanos) {
    window(service, nowNanos).retryNanos.pollLast();
  }

  private Window window(ServiceName service, long nowNanos) {
    Window window = windows.computeIfAbsent(service, name -> new Window());
    window.expire(nowNanos);
    return window;
  }
}
