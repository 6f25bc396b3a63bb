package io.zinniawood.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;

/** Parses the arguments and runs the command that they name. */
public final class CommandLine {
  private static final String PROGRAM = "zinniawood";

  private final List<Command> commands;

  /** Creates a command line with the given commands. */
  public CommandLine(List<Command> commands) {
    this.commands = List.copyOf(commands);
  }

  /**
   * Runs the command that the arguments name.
   *
   * @param arguments arguments of the process
   * @param out standard output
   * @param err standard error
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
    } catch (ParameterException wrong) {
      err.println(PROGRAM + ": " + wrong.getMessage());
      err.println("Run '" + PROGRAM + " --help' for the commands and their options.");
      return ExitCode.WRONG_USAGE;
    }
    String name = parser.getParsedCommand();
    if (name == null) {
      boolean asked = general.helpRequested();
      printCommands(parser, asked ? out : err);
      return asked ? ExitCode.DONE : ExitCode.WRONG_USAGE;
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

  private void printCommands(JCommander parser, PrintStream to) {
    to.println("Usage: " + PROGRAM + " COMMAND [options]");
    to.println();
    to.println("Commands:");
    for (Command command : commands) {
      String description = parser.getUsageFormatter().getCommandDescription(command.name());
      to.printf("  %-8s %s%n", command.name(), description);
    }
    to.println();
    to.println("Exit codes: 0 done, 1 failed while running, 2 wrong usage or settings.");
    to.println("Run '" + PROGRAM + " COMMAND --help' for the options of a command.");
  }

  private static void printHelp(JCommander parser, Command command, PrintStream to) {
    StringBuilder text = new StringBuilder();
    parser.getUsageFormatter().usage(command.name(), text);
    to.println(text);
    to.println("Examples:");
    command.examples().lines().forEach(line -> to.println("  " + line));
  }

  /** Options before a command. */
  private static final class GeneralOptions extends HelpOption {}
}
