package io.zinniawood.runtime;

import io.vavr.control.Option;
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
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Passes events to a reducer on a single thread and its effects to a handler, in order. Events that
 * are posted while another event is being processed are processed after it.
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
  private Function<F, Option<E>> resultOfFailed = failed -> Option.none();
  private S state;

  /**
   * Creates an event loop without starting it.
   *
   * @param name name of the thread of the loop
   * @param initialState state before the first event
   * @param reducer computes the next state and the effects of an event
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

  /** Sets a handler of effects whose failure nothing waits for. */
  public void start(EffectHandler<F> effectHandler) {
    start(effectHandler, failed -> Option.none());
  }

  /**
   * Sets the effect handler; call once, before the first event.
   *
   * @param effectHandler executes the effects; one that fails does not keep the later ones from
   *     being executed
   * @param failedEffects returns the event that tells the reducer that an effect failed; none if
   *     nothing waits for a result of the effect
   */
  public void start(EffectHandler<F> effectHandler, Function<F, Option<E>> failedEffects) {
    this.handler = Objects.requireNonNull(effectHandler, "effectHandler");
    this.resultOfFailed = Objects.requireNonNull(failedEffects, "failedEffects");
  }

  /** Queues an event; may be called from any thread. Events after {@link #close} are dropped. */
  public void post(E event) {
    try {
      executor.execute(() -> applyEvent(event));
    } catch (RejectedExecutionException closed) {
      LOGGER.log(Level.DEBUG, "event loop is closed; event dropped");
    }
  }

  /**
   * Passes the current state to a reader on the thread of the loop, for reports and tests.
   *
   * @param reader receives the state; must not block
   */
  public void readState(java.util.function.Consumer<S> reader) {
    try {
      executor.execute(() -> reader.accept(state));
    } catch (RejectedExecutionException closed) {
      LOGGER.log(Level.DEBUG, "event loop is closed; read of its state dropped");
    }
  }

  /**
   * Starts a timer, or restarts it if it is running; call only on the thread of the loop.
   *
   * @param key identifies the timer
   * @param delayNanos delay in nanoseconds
   * @param event event to process when the timer expires
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

  /** Cancels a timer if it is running; call only on the thread of the loop. */
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
    } catch (RuntimeException | Error exception) {
      LOGGER.log(
          Level.ERROR,
          "reducer failed to process event %s".formatted(event.getClass().getSimpleName()),
          exception);
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
    } catch (RuntimeException | Error exception) {
      LOGGER.log(
          Level.ERROR,
          "handler failed to execute effect %s".formatted(effect.getClass().getSimpleName()),
          exception);
      resultOfFailed.apply(effect).forEach(this::post);
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
