package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ContainedTaskTest {
  // An error in one tick ended all later ones, and with them every deadline and retry.
  @Test
  void taskThatFailsWithAnErrorRunsAgain() {
    List<String> failures = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    Runnable failing =
        () -> {
          throw new StackOverflowError();
        };
    channel
        .eventLoop()
        .scheduleAtFixedRate(
            new ContainedTask(
                "tick", failing, (event, subject, failure) -> failures.add(event + " " + subject)),
            0,
            1,
            TimeUnit.SECONDS);
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(failures, is(List.of("task-failed tick", "task-failed tick", "task-failed tick")));
  }
}
