package io.zinniawood.core.relay;

import io.zinniawood.core.id.ServiceName;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the repeats of requests to a service. All relays share a budget without talking: each
 * keeps to a share of its own requests plus a small fixed number.
 */
final class RetryBudget {
  /** Window in which repeats are counted; the platform's page gives ten seconds. */
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Repeats against requests; below the platform's 0.2, as windows of two nodes differ. */
  private static final double MAX_RETRY_RATIO = 0.15;

  /**
   * Repeats that a relay may send beyond the ratio; ten relays stay within the platform's slack.
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

  /** Counts a request of a caller. */
  void recordRequest(ServiceName service, long nowNanos) {
    window(service, nowNanos).requestNanos.addLast(nowNanos);
  }

  /** Takes one repeat out of the budget; false if there is none left. */
  boolean tryAcquire(ServiceName service, long nowNanos) {
    Window window = window(service, nowNanos);
    if (window.retryNanos.size() >= MAX_RETRY_RATIO * window.requestNanos.size() + RETRY_RESERVE) {
      return false;
    }
    window.retryNanos.addLast(nowNanos);
    return true;
  }

  private Window window(ServiceName service, long nowNanos) {
    Window window = windows.computeIfAbsent(service, name -> new Window());
    window.expire(nowNanos);
    return window;
  }
}
