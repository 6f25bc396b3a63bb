package io.zinniawood.dist;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One process of the executable, with its log in a file. */
public final class RoleProcess implements AutoCloseable {
  private static final Path EXECUTABLE = Path.of(System.getProperty("zinniawood.binary"));
  private static final Path LOG_FOLDER = EXECUTABLE.resolveSibling("it-logs");
  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final String name;
  private final Process process;

  private RoleProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /** Starts a role with a settings file of the given text. */
  public static RoleProcess start(String role, String name, String settings) {
    try {
      Files.createDirectories(LOG_FOLDER);
      return start(role, name, Files.writeString(LOG_FOLDER.resolve(name + ".toml"), settings));
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot write the settings of " + name, failure);
    }
  }

  /** Starts a role with a settings file that exists. */
  public static RoleProcess start(String role, String name, Path settingsFile) {
    try {
      Files.createDirectories(LOG_FOLDER);
      Process process =
          new ProcessBuilder(EXECUTABLE.toString(), role, "--settings", settingsFile.toString())
              .redirectErrorStream(true)
              .redirectOutput(LOG_FOLDER.resolve(name + ".log").toFile())
              .start();
      return new RoleProcess(name, process);
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot start " + name, failure);
    }
  }

  /** Sends a signal by name, for example STOP. */
  public void signal(String signal) {
    try {
      Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
      if (kill.waitFor() != 0) {
        throw new IllegalStateException("cannot send " + signal + " to " + name);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process at once (SIGKILL). */
  public void kill() {
    process.destroyForcibly();
    awaitExitCode();
  }

  /** Tells whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Waits for the end of the process and returns its exit code. */
  public int awaitExitCode() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            name + " did not end within " + EXIT_TIMEOUT_SECONDS + " s");
      }
      return process.exitValue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", interrupted);
    }
  }

  /** Returns the processor time and memory that the process has used. */
  ProcessUsage usage() {
    return ProcessUsage.of(process.pid());
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
