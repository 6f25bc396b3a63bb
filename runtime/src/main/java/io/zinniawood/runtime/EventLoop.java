package io.zinniawood.runtime;

import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Applies events to a reducer on one thread and hands its effects to a handler in order. Events
 * that are posted while an event is handled come after it.
 *
 * @param <S> state type
 * @param <E> event type
 * @param <F> effect type
 * @param <T> timer key type
 */
public final class EventLoop<S, E, F, T> implements AutoCloseable {
  private static final Logger LOGGER = System.getLogger(EventLoop.class.getName());
  private static final long CLOSE_WAIT_MILLIS = 2_000;

  private final Reducer<S, E, F> reducer;
  private final LongSupplier clockNanos;
  private final ScheduledExecutorService executor;
  private final Map<T, ScheduledFuture<?>> timers = new HashMap<>();
  private EffectHandler<F> handler;
  private S state;

  /**
   * Creates an event loop that is not started.
   *
   * @param name thread name
   * @param initialState state before the first event
   * @param reducer decisions
   * @param clockNanos monotonic clock in nanoseconds
   */
  public EventLoop(String name, S initialState, Reducer<S, E, F> reducer, LongSupplier clockNanos) {
    this.state = Objects.requireNonNull(initialState, "initialState");
    this.reducer = Objects.requireNonNull(reducer, "reducer");
    this.clockNanos = Objects.requireNonNull(clockNanos, "clockNanos");
    this.executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Sets the effect handler; call once, before the first event. */
  public void start(EffectHandler<F> effectHandler) {
    this.handler = Objects.requireNonNull(effectHandler, "effectHandler");
  }

  /** Adds an event; may be called from any thread. Events after {@link #close} are dropped. */
  public void post(E event) {
    try {
      executor.execute(() -> applyEvent(event));
    } catch (RejectedExecutionException closed) {
      LOGGER.log(Level.DEBUG, "event loop is closed, event dropped");
    }
  }

  /**
   * Runs a task with the present state on the loop's thread, for reports and tests.
   *
   * @param reader reads the state; must not block
   */
  public void readState(java.util.function.Consumer<S> reader) {
    try {
      executor.execute(() -> reader.accept(state));
    } catch (RejectedExecutionException closed) {
      LOGGER.log(Level.DEBUG, "event loop is closed, read dropped");
    }
  }

  /**
   * Starts or restarts a timer; call on the loop's thread only.
   *
   * @param key key of the timer
   * @param delayNanos delay in nanoseconds
   * @param event event to post when the timer elapses
   */
  public void startTimer(T key, long delayNanos, E event) {
    cancelTimer(key);
    ScheduledFuture<?>[] self = new ScheduledFuture<?>[1];
    self[0] =
        executor.schedule(
            () -> {
              timers.remove(key, self[0]);
              applyEvent(event);
            },
            delayNanos,
            TimeUnit.NANOSECONDS);
    timers.put(key, self[0]);
  }

  /** Cancels a timer; call on the loop's thread only. */
  public void cancelTimer(T key) {
    ScheduledFuture<?> timer = timers.remove(key);
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void applyEvent(E event) {
    Step<S, F> step;
    try {
      step = reducer.reduce(state, clockNanos.getAsLong(), event);
    } catch (RuntimeException fault) {
      LOGGER.log(
          Level.ERROR, "reducer failed on %s".formatted(event.getClass().getSimpleName()), fault);
      return;
    }
    state = step.state();
    for (F effect : step.effects()) {
      handleEffect(effect);
    }
  }

  private void handleEffect(F effect) {
    try {
      handler.handle(effect);
    } catch (RuntimeException fault) {
      LOGGER.log(
          Level.ERROR, "effect %s failed".formatted(effect.getClass().getSimpleName()), fault);
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
    try {
      executor.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
