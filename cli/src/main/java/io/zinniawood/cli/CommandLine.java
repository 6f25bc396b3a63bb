package io.zinniawood.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;

/** Parses the arguments of the process and runs the selected command. */
public final class CommandLine {
  private static final String PROGRAM = "zinniawood";

  private final List<Command> commands;

  /** Creates a command line whose help lists the commands in the given order. */
  public CommandLine(List<Command> commands) {
    this.commands = List.copyOf(commands);
  }

  /**
   * Runs the command that the arguments select. Invalid arguments and a missing command are
   * reported on {@code err}.
   */
  public ExitCode run(String[] arguments, PrintStream out, PrintStream err)
      throws InterruptedException {
    GeneralOptions general = new GeneralOptions();
    JCommander parser = new JCommander(general);
    parser.setProgramName(PROGRAM);
    for (Command command : commands) {
      parser.addCommand(command.name(), command);
    }
    try {
      parser.parse(arguments);
    } catch (ParameterException invalid) {
      err.println(PROGRAM + ": " + invalid.getMessage());
      err.println("Run '" + PROGRAM + " --help' for the commands and their options.");
      return ExitCode.WRONG_USAGE;
    }
    String name = parser.getParsedCommand();
    if (name == null) {
      boolean helpRequested = general.helpRequested();
      printCommands(parser, helpRequested ? out : err);
      return helpRequested ? ExitCode.DONE : ExitCode.WRONG_USAGE;
    }
    Command command = find(name);
    if (command instanceof HelpOption option && option.helpRequested()) {
      printHelp(parser, command, out);
      return ExitCode.DONE;
    }
    return command.run(out, err);
  }

  private Command find(String name) {
    return commands.stream().filter(command -> command.name().equals(name)).findFirst().get();
  }

  private void printCommands(JCommander parser, PrintStream stream) {
    stream.println("Usage: " + PROGRAM + " COMMAND [options]");
    stream.println();
    stream.println("Commands:");
    for (Command command : commands) {
      String description = parser.getUsageFormatter().getCommandDescription(command.name());
      stream.printf("  %-8s %s%n", command.name(), description);
    }
    stream.println();
    stream.println("Exit codes: 0 done, 1 failed while running, 2 wrong usage or settings.");
    stream.println("Run '" + PROGRAM + " COMMAND --help' for the options of a command.");
  }

  private static void printHelp(JCommander parser, Command command, PrintStream stream) {
    StringBuilder text = new StringBuilder();
    parser.getUsageFormatter().usage(command.name(), text);
    stream.println(text);
    stream.println("Examples:");
    command.examples().lines().forEach(line -> stream.println("  " + line));
  }

  /** Options that precede the command. */
  private static final class GeneralOptions extends HelpOption {}
}
