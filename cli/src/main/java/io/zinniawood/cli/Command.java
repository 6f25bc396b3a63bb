package io.zinniawood.cli;

import java.io.PrintStream;

/** One command of the executable. JCommander fills its parameters. */
public interface Command {
  /** Returns the name of the command. */
  String name();

  /** Returns example invocations, one for each line. */
  String examples();

  /**
   * Runs the command.
   *
   * @param out standard output
   * @param err standard error
   */
  ExitCode run(PrintStream out, PrintStream err) throws InterruptedException;
}
