package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineSpeed;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.engine.ModelParameters;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.standin.service.ServiceSettings;
import io.zinniawood.standin.service.ServiceStandIn;
import io.zinniawood.telemetry.JsonLogging;
import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;

/** Runs a stand-in for an external system until SIGTERM or Ctrl-C. */
@Parameters(commandDescription = "Run a stand-in: platform, engine or service")
final class StandinCommand extends HelpOption implements Command {
  /** Longest time to stop the stand-in before the JVM is halted. */
  private static final long MAX_STOP_MILLIS = 5_000;

  private static final String UNLIMITED = "unlimited";

  @Parameter(description = "platform|engine|service", required = true)
  private List<String> kinds = new ArrayList<>();

  @Parameter(names = "--port", description = "TCP port on loopback", required = true)
  private int port;

  @Parameter(names = "--vm-list-delay-ms", description = "Platform: lag of the VM list, ms")
  private long vmListDelayMillis = 200;

  @Parameter(names = "--model", description = "Engine: name of the model")
  private String model = "assistant";

  @Parameter(names = "--model-layers", description = "Engine: number of layers of the model")
  private int modelLayers = 24;

  @Parameter(names = "--from-layer", description = "Engine: first layer held")
  private int fromLayer;

  @Parameter(names = "--to-layer", description = "Engine: layer after the last one held")
  private int toLayerExclusive = 24;

  @Parameter(
      names = "--accelerator",
      description = "Engine: large, medium, small, tiny, or unlimited for no delay")
  private String accelerator = "large";

  @Parameter(
      names = "--platform",
      description = "Engine: base URL of the platform whose weight store is used")
  private String platform;

  @Parameter(names = "--call-ms", description = "Service: duration of each call, ms")
  private long callMillis = 5;

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String examples() {
    return """
        zinniawood standin platform --port 7000
        zinniawood standin engine --port 7101 --from-layer 0 --to-layer 12 --accelerator large
        zinniawood standin service --port 7201
        """;
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
    JsonLogging.install(err, Level.INFO);
    Termination termination = Termination.install(MAX_STOP_MILLIS);
    try (AutoCloseable standin = start()) {
      out.printf("%s stand-in on http://127.0.0.1:%d (%s)%n", kinds.get(0), port, standin);
      termination.await();
      return ExitCode.DONE;
    } catch (InterruptedException interrupted) {
      throw interrupted;
    } catch (ParameterException | IllegalArgumentException invalid) {
      err.println("zinniawood standin: " + invalid.getMessage());
      return ExitCode.WRONG_USAGE;
    } catch (Exception failure) {
      err.println("zinniawood standin: " + failure.getMessage());
      return ExitCode.FAILED;
    } finally {
      termination.finish();
    }
  }

  private AutoCloseable start() {
    switch (kinds.get(0)) {
      case "platform":
        PlatformStandIn platformStandIn =
            new PlatformStandIn(
                new PlatformSettings(port, vmListDelayMillis, 2, 4, 0, 0, List.of()));
        platformStandIn.start(port);
        return platformStandIn;
      case "engine":
        EngineStandIn engine = new EngineStandIn(engineSettings());
        engine.start(port);
        return engine;
      case "service":
        ServiceStandIn service = new ServiceStandIn(new ServiceSettings(port, callMillis));
        service.start(port);
        return service;
      default:
        throw new ParameterException(
            "kind of stand-in must be platform, engine or service, found " + kinds.get(0));
    }
  }

  private EngineSettings engineSettings() {
    EngineSettings base =
        EngineSettings.unlimited(
            new ModelParameters(model, "v1", modelLayers, 0), fromLayer, toLayerExclusive);
    if (accelerator.equals(UNLIMITED)) {
      return base;
    }
    return new EngineSettings(
        port,
        base.parameters(),
        fromLayer,
        toLayerExclusive,
        accelerator,
        EngineSpeed.ofKind(accelerator),
        base.limits(),
        new EngineSettings.Delays(200, 7, 500, 20),
        base.fencing(),
        Optional.ofNullable(platform).map(URI::create));
  }
}
