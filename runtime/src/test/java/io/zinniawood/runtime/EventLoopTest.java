package io.zinniawood.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Option;
import io.zinniawood.core.runtime.Step;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Event loop whose effects are the characters of the event; "!" and "?" fail. */
final class EventLoopTest {
  private static final long WAIT_SECONDS = 10;

  private final BlockingQueue<String> executed = new LinkedBlockingQueue<>();

  private void execute(String effect) {
    if (effect.equals("!")) {
      throw new OutOfMemoryError("no direct memory");
    }
    if (effect.equals("?")) {
      throw new IllegalStateException("failed");
    }
    executed.add(effect);
  }

  private EventLoop<Integer, String, String, String> start() {
    EventLoop<Integer, String, String, String> loop =
        new EventLoop<>(
            "test-loop",
            0,
            (state, nowNanos, event) -> Step.of(state, event.split("")),
            System::nanoTime);
    loop.start(this::execute, failed -> Option.some("after " + failed.codePointAt(0)));
    return loop;
  }

  private String take(int count) throws InterruptedException {
    StringBuilder taken = new StringBuilder();
    for (int index = 0; index < count; index++) {
      taken.append(executed.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    }
    return taken.toString();
  }

  // An error such as Netty's out of direct memory lost the effects that followed it, unlogged.
  @Test
  void effectsAfterAnErrorAreExecuted() throws InterruptedException {
    try (EventLoop<Integer, String, String, String> loop = start()) {
      loop.post("a!b");
      assertThat(take(2), equalTo("ab"));
    }
  }

  // A decision would wait for the result of an effect that was never executed.
  @Test
  void failedEffectHasResult() throws InterruptedException {
    try (EventLoop<Integer, String, String, String> loop = start()) {
      loop.post("a?b");
      assertThat(take(10), equalTo("abafter 63"));
    }
  }
}
