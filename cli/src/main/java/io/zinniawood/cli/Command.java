package io.zinniawood.cli;

import java.io.PrintStream;

/** A command of the executable. JCommander sets the fields for its options. */
public interface Command {
  /** Returns the name by which the command is called. */
  String name();

  /** Returns example invocations, one for each line. */
  String examples();

  /** Runs the command after its options are set, with the given standard output and error. */
  ExitCode run(PrintStream out, PrintStream err) throws InterruptedException;
}
