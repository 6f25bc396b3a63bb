package io.zinniawood.dist;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/** Processes that this JVM has started. They are killed when it ends, also if it is interrupted. */
public final class ChildProcesses {
  private static final Set<Process> RUNNING = new HashSet<>();
  private static boolean ending;

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(ChildProcesses::killAll));
  }

  private ChildProcesses() {}

  /**
   * Starts a process.
   *
   * @throws IOException if it cannot be started, or if this JVM is about to end
   */
  public static synchronized Process start(ProcessBuilder builder) throws IOException {
    if (ending) {
      throw new IOException("no process is started while the JVM ends");
    }
    RUNNING.removeIf(process -> !process.isAlive());
    Process process = builder.start();
    RUNNING.add(process);
    return process;
  }

  private static synchronized void killAll() {
    ending = true;
    RUNNING.forEach(Process::destroyForcibly);
  }
}
