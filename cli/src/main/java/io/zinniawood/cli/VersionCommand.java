package io.zinniawood.cli;

import com.beust.jcommander.Parameters;
import java.io.PrintStream;

/** Prints the version from the manifest of the JAR. */
@Parameters(commandDescription = "Print the version")
final class VersionCommand extends HelpOption implements Command {
  @Override
  public String name() {
    return "version";
  }

  @Override
  public String examples() {
    return "zinniawood version";
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) {
    String version = VersionCommand.class.getPackage().getImplementationVersion();
    out.println("zinniawood " + (version == null ? "development build" : version));
    return ExitCode.DONE;
  }
}
