package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.cli.process.RelayLauncher;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.settings.RelaySettings;
import io.zinniawood.config.settings.SettingsLoader;
import io.zinniawood.relay.RelayProcess;
import io.zinniawood.telemetry.DecisionLog;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Runs a relay until SIGTERM or Ctrl-C. */
@Parameters(
    commandDescription = "Run a relay: an entry to endpoints that run paths of layers themselves")
final class RelayCommand extends HelpOption implements Command {
  static final String NAME = "relay";

  private static final Signal RELOAD_SIGNAL = new Signal("HUP");

  /** Longest time for a start to end that SIGTERM has overtaken. */
  private static final long MAX_START_MILLIS = 10_000;

  @Parameter(names = "--settings", description = "Settings file (TOML)", required = true)
  private String settingsFile;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public String examples() {
    return "zinniawood relay --settings relay.toml";
  }

  /**
   * Ignores SIGHUP until the settings are loaded. Its default action ends the JVM, and the platform
   * may send it at any time.
   */
  static void ignoreReloadSignal() {
    Signal.handle(RELOAD_SIGNAL, SignalHandler.SIG_IGN);
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
    Termination termination = Termination.install(MAX_START_MILLIS);
    try {
      Either<Vector<ConfigurationFault>, RelaySettings> settings = loadSettings();
      if (settings.isLeft()) {
        ConfigurationFaultPrinter.print(settings.getLeft(), err);
        return ExitCode.WRONG_USAGE;
      }
      termination.limitTo(settings.get().gracePeriodMillis());
      return termination.requested() ? ExitCode.DONE : serve(settings.get(), termination, out, err);
    } finally {
      termination.finish();
    }
  }

  private ExitCode serve(
      RelaySettings settings, Termination termination, PrintStream out, PrintStream err)
      throws InterruptedException {
    DecisionLog log = new DecisionLog(out, Instant::now, System::nanoTime);
    Signal.handle(RELOAD_SIGNAL, signal -> checkReloadedSettings(log));
    try (RelayProcess relay = RelayLauncher.start(settings, log)) {
      log.add("process-started", List.of("vm", settings.vm().value()));
      termination.await();
      relay.terminate();
      relay.awaitStopped();
      log.add("process-stopped", List.of("vm", settings.vm().value()));
      return ExitCode.DONE;
    } catch (InterruptedException interrupted) {
      throw interrupted;
    } catch (Exception failure) {
      // Netty throws the checked exceptions of a bind without declaring them.
      err.println("zinniawood relay: " + failure);
      termination.finish(ExitCode.FAILED);
      return ExitCode.FAILED;
    } finally {
      log.close();
    }
  }

  private Either<Vector<ConfigurationFault>, RelaySettings> loadSettings() {
    return SettingsLoader.loadRelay(Path.of(settingsFile));
  }

  // Addresses and names are fixed while the process runs, so a reload only validates the file and
  // logs the result.
  private void checkReloadedSettings(DecisionLog log) {
    Either<Vector<ConfigurationFault>, RelaySettings> settings = loadSettings();
    log.add(
        "settings-reloaded",
        List.of(
            "valid",
            settings.isRight(),
            "faults",
            settings.isLeft() ? settings.getLeft().mkString("; ") : ""));
  }
}
