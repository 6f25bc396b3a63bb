package io.zinniawood.dist;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Process of the packaged executable in one role; its output goes to a log file. */
public final class RoleProcess implements AutoCloseable {
  private static final Path EXECUTABLE = Path.of(System.getProperty("zinniawood.binary"));
  private static final Path LOG_FOLDER = EXECUTABLE.resolveSibling("it-logs");
  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final String name;
  private final Process process;

  /**
   * Limits of a process.
   *
   * @param javaOptions options of the JVM, separated by spaces
   * @param descriptors maximum number of open descriptors
   */
  public record Limits(String javaOptions, int descriptors) {
    static final Limits NONE = new Limits("", Integer.MAX_VALUE);

    private void apply(ProcessBuilder builder) {
      if (!javaOptions.isEmpty()) {
        builder.environment().put("ZINNIAWOOD_JAVA_OPTIONS", javaOptions);
      }
      if (descriptors < Integer.MAX_VALUE) {
        builder
            .command()
            .addAll(0, List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$0\" \"$@\""));
      }
    }
  }

  private RoleProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /** Writes the settings to a file and starts a role with it. */
  public static RoleProcess start(String role, String name, String settings) {
    return start(role, name, Limits.NONE, settings);
  }

  /** Writes the settings to a file and starts a role with it under limits. */
  public static RoleProcess start(String role, String name, Limits limits, String settings) {
    try {
      Files.createDirectories(LOG_FOLDER);
      Path file = Files.writeString(LOG_FOLDER.resolve(name + ".toml"), settings);
      return start(role, name, file, limits);
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot write the settings file of process " + name, failure);
    }
  }

  /** Starts a role with the settings that were written for its earlier process. */
  static RoleProcess restart(String role, String name, Limits limits) {
    return start(role, name, LOG_FOLDER.resolve(name + ".toml"), limits);
  }

  /** Starts a role with an existing settings file. */
  public static RoleProcess start(String role, String name, Path settingsFile) {
    return start(role, name, settingsFile, "");
  }

  /**
   * Starts a role with an existing settings file.
   *
   * @param javaOptions options of the JVM, separated by spaces
   */
  public static RoleProcess start(String role, String name, Path settingsFile, String javaOptions) {
    return start(role, name, settingsFile, new Limits(javaOptions, Integer.MAX_VALUE));
  }

  /** Starts a role with an existing settings file under limits. */
  static RoleProcess start(String role, String name, Path settingsFile, Limits limits) {
    try {
      Files.createDirectories(LOG_FOLDER);
      ProcessBuilder builder =
          new ProcessBuilder(EXECUTABLE.toString(), role, "--settings", settingsFile.toString())
              .redirectErrorStream(true)
              .redirectOutput(LOG_FOLDER.resolve(name + ".log").toFile());
      limits.apply(builder);
      return new RoleProcess(name, ChildProcesses.start(builder));
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot start process " + name, failure);
    }
  }

  /** Sends a signal, given by its name without SIG, for example STOP. */
  public void signal(String signal) {
    try {
      Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
      if (kill.waitFor() != 0) {
        throw new IllegalStateException("kill -" + signal + " failed for process " + name);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot run kill for process " + name, failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the process with SIGKILL and waits until it has ended. */
  public void kill() {
    process.destroyForcibly();
    awaitExitCode();
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns whether the process has written to its log. */
  public boolean hasOutput() {
    try {
      return Files.size(LOG_FOLDER.resolve(name + ".log")) > 0;
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot read the log of process " + name, failure);
    }
  }

  /** Waits up to 60 s for the end of the process and returns its exit code. */
  public int awaitExitCode() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            "process " + name + " did not end within " + EXIT_TIMEOUT_SECONDS + " s");
      }
      return process.exitValue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for process " + name, interrupted);
    }
  }

  /** Returns the current processor time and resident memory of the process. */
  public ProcessUsage usage() {
    return ProcessUsage.of(process.pid());
  }

  /** Returns the current number of open descriptors of the process. */
  int openDescriptors() {
    return ProcessUsage.openDescriptors(process.pid());
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
