package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.cli.process.EntryLauncher;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.config.settings.SettingsLoader;
import io.zinniawood.core.entry.EntryState;
import io.zinniawood.entry.EntryProcess;
import io.zinniawood.telemetry.JsonLogging;
import io.zinniawood.wire.WireError;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.logging.Level;

/** Runs an entry until SIGTERM or Ctrl-C. */
@Parameters(commandDescription = "Run an entry")
final class EntryCommand extends HelpOption implements Command {
  @Parameter(names = "--settings", description = "Settings file (TOML)", required = true)
  private String settingsFile;

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String examples() {
    return "zinniawood entry --settings entry.toml";
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
    JsonLogging.install(err, Level.INFO);
    Either<Vector<ConfigurationFault>, EntrySettings> settings =
        SettingsLoader.loadEntry(Path.of(settingsFile));
    if (settings.isLeft()) {
      ConfigurationFaultPrinter.print(settings.getLeft(), err);
      return ExitCode.WRONG_USAGE;
    }
    Either<WireError, EntryProcess<EntryState>> created = EntryLauncher.create(settings.get());
    if (created.isLeft()) {
      err.println("zinniawood entry: " + created.getLeft().detail());
      return ExitCode.WRONG_USAGE;
    }
    return serve(created.get(), settings.get().gracePeriodMillis(), err);
  }

  private static ExitCode serve(
      EntryProcess<EntryState> entry, long gracePeriodMillis, PrintStream err)
      throws InterruptedException {
    Termination termination = Termination.install(gracePeriodMillis);
    try (entry) {
      entry.start();
      termination.await();
      entry.drain().get();
      return ExitCode.DONE;
    } catch (ExecutionException | RuntimeException failure) {
      err.println("zinniawood entry: " + failure.getMessage());
      return ExitCode.FAILED;
    } finally {
      termination.finish();
    }
  }
}
