package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ChildProcessesTest {
  /** Only ends a run that hangs. */
  private static final long TIMEOUT_SECONDS = 60;

  /** Starts a process that runs for long, stops it as a fault does, and prints its id. */
  static final class Harness {
    private Harness() {}

    public static void main(String[] args) throws Exception {
      Process child = ChildProcesses.start(new ProcessBuilder("sleep", "600"));
      new ProcessBuilder("kill", "-STOP", Long.toString(child.pid())).start().waitFor();
      System.out.println(child.pid());
      child.waitFor();
    }
  }

  // Relays of a soak that was ended by hand were left over and took part in the next runs.
  @Test
  void childrenOfAnInterruptedHarnessAreKilled() throws IOException, InterruptedException {
    Process harness =
        ChildProcesses.start(
            new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    Harness.class.getName())
                .redirectError(ProcessBuilder.Redirect.INHERIT));
    BufferedReader output =
        new BufferedReader(new InputStreamReader(harness.getInputStream(), StandardCharsets.UTF_8));
    ProcessHandle child = ProcessHandle.of(Long.parseLong(output.readLine())).orElseThrow();
    harness.destroy();
    assertThat(harness.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    boolean ended =
        child.onExit().completeOnTimeout(null, TIMEOUT_SECONDS, TimeUnit.SECONDS).join() != null;
    child.destroyForcibly();
    assertThat("the child has ended", ended, is(true));
  }
}
