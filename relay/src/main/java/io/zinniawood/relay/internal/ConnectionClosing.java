package io.zinniawood.relay.internal;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Closes the callers' connections of a process that is to stop. Connections close once their
 * answers are sent, and quiet ones after a while. Requests that are still received then are
 * refused. The process may exit when no connection is left.
 */
public final class ConnectionClosing {
  /** Time after the request to terminate at which idle connections are closed first. */
  private static final long IDLE_CLOSE_DELAY_MILLIS = 2_500;

  /** Time without bytes for a connection to count as idle; a request may be on its way before. */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Time after the end of the last request in progress for which requests that are partly received
   * may become complete. Callers that send slowly would otherwise hold the process until its kill.
   */
  private static final long UNFINISHED_MILLIS = 2_500;

  private static final long CHECK_INTERVAL_MILLIS = 10;

  /** Part of the grace period that is left for the exit itself. */
  private static final long EXIT_DIVISOR = 32;

  private static final long MAX_EXIT_MILLIS = 250;

  private final EventLoop loop;
  private final long gracePeriodMillis;
  private final Set<CallerHandler> callers;
  private final Consumer<Remainder> onClosed;
  private long endNanos;

  /**
   * What the exit cuts.
   *
   * @param connections open connections
   * @param openRequests connections with a request in progress or partly received
   * @param unsentBytes bytes of answers that the callers have not taken yet
   */
  public record Remainder(int connections, long openRequests, long unsentBytes) {}

  /**
   * Creates an object that closes nothing yet.
   *
   * @param gracePeriodMillis time from the request to terminate until the kill, in milliseconds
   * @param callers open connections; changed by their owner on the event loop
   * @param onClosed called once, when the process may exit
   */
  public ConnectionClosing(
      EventLoop loop,
      long gracePeriodMillis,
      Set<CallerHandler> callers,
      Consumer<Remainder> onClosed) {
    this.loop = loop;
    this.gracePeriodMillis = gracePeriodMillis;
    this.callers = callers;
    this.onClosed = onClosed;
  }

  /** Starts the grace period; must be called on the event loop. */
  public void terminationRequested() {
    long exitMillis = Math.min(MAX_EXIT_MILLIS, gracePeriodMillis / EXIT_DIVISOR);
    endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(gracePeriodMillis - exitMillis);
    loop.schedule(this::closeQuiet, IDLE_CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void closeQuiet() {
    long nowNanos = System.nanoTime();
    for (CallerHandler caller : List.copyOf(callers)) {
      caller.closeIfQuiet(nowNanos, QUIET_NANOS);
    }
  }

  /** Closes all connections; must be called on the event loop once the port is closed. */
  public void start() {
    loop.schedule(
        () -> List.copyOf(callers).forEach(CallerHandler::refuseUnfinished),
        UNFINISHED_MILLIS,
        TimeUnit.MILLISECONDS);
    awaitClosed();
  }

  private void awaitClosed() {
    closeQuiet();
    if (!callers.isEmpty() && System.nanoTime() - endNanos < 0) {
      loop.schedule(this::awaitClosed, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    onClosed.accept(
        new Remainder(
            callers.size(),
            callers.stream().filter(CallerHandler::busy).count(),
            callers.stream().mapToLong(CallerHandler::unsentBytes).sum()));
  }
}
