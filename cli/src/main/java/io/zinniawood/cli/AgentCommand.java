package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.agent.AgentProcess;
import io.zinniawood.cli.process.AgentLauncher;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.config.settings.SettingsLoader;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.telemetry.JsonLogging;
import io.zinniawood.wire.WireError;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.logging.Level;

/** Runs an agent until SIGTERM or Ctrl-C. */
@Parameters(commandDescription = "Run an agent beside an endpoint")
final class AgentCommand extends HelpOption implements Command {
  @Parameter(names = "--settings", description = "Settings file (TOML)", required = true)
  private String settingsFile;

  @Override
  public String name() {
    return "agent";
  }

  @Override
  public String examples() {
    return "zinniawood agent --settings agent.toml";
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
    JsonLogging.install(err, Level.INFO);
    Either<Vector<ConfigurationFault>, AgentSettings> settings =
        SettingsLoader.loadAgent(Path.of(settingsFile));
    if (settings.isLeft()) {
      ConfigurationFaultPrinter.print(settings.getLeft(), err);
      return ExitCode.WRONG_USAGE;
    }
    Either<WireError, AgentProcess> created = AgentLauncher.create(settings.get());
    if (created.isLeft()) {
      err.println("zinniawood agent: " + created.getLeft().detail());
      return ExitCode.WRONG_USAGE;
    }
    return serve(created.get(), settings.get().gracePeriodMillis(), err);
  }

  private static ExitCode serve(AgentProcess agent, long gracePeriodMillis, PrintStream err)
      throws InterruptedException {
    Termination termination = Termination.install(gracePeriodMillis);
    try (agent) {
      Either<WireError, NodeAddress> listening = agent.start();
      if (listening.isLeft()) {
        err.println("zinniawood agent: " + listening.getLeft().detail());
        return ExitCode.FAILED;
      }
      termination.await();
      agent.drain().get();
      return ExitCode.DONE;
    } catch (ExecutionException failure) {
      err.println("zinniawood agent: " + failure.getMessage());
      return ExitCode.FAILED;
    } finally {
      termination.finish();
    }
  }
}
