package io.zinniawood.cli;

import java.util.List;

/** Entry point of the executable. */
public final class Main {
  private Main() {}

  /** Runs the command that the arguments select and exits with its exit code. */
  public static void main(String[] arguments) throws InterruptedException {
    if (arguments.length > 0 && RelayCommand.NAME.equals(arguments[0])) {
      RelayCommand.ignoreReloadSignal();
    }
    List<Command> commands =
        List.of(
            new EntryCommand(),
            new AgentCommand(),
            new RelayCommand(),
            new CheckCommand(),
            new ReportCommand(),
            new ExplainCommand(),
            new LoadCommand(),
            new StandinCommand(),
            new DemoCommand(),
            new VersionCommand());
    ExitCode code = new CommandLine(commands).run(arguments, System.out, System.err);
    System.exit(code.code());
  }
}
