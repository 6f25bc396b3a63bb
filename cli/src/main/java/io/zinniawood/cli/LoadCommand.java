package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.zinniawood.cli.bench.Scenarios;
import io.zinniawood.load.LatencyLimits;
import io.zinniawood.load.LoadGenerator;
import io.zinniawood.load.LoadJsonRenderer;
import io.zinniawood.load.LoadPlan;
import io.zinniawood.load.LoadResult;
import io.zinniawood.load.LoadTextRenderer;
import io.zinniawood.load.Workload;
import io.zinniawood.telemetry.JsonLogging;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;

/** Sends open-loop load to an entry, or runs a load scenario, and prints latencies and outcomes. */
@Parameters(commandDescription = "Send open-loop load to an entry and print the result")
final class LoadCommand extends HelpOption implements Command {
  @Parameter(names = "--target", description = "Base address of the callers' port")
  private String target;

  @Parameter(names = "--key", description = "API key of a client account")
  private String key;

  @Parameter(
      names = "--scenario",
      description =
          "Run bound, overload or recovery on a local cluster, compared with the naive policy")
  private String scenario;

  @Parameter(names = "--rate", description = "Chat requests per second, 0 for none")
  private double chatsPerSecond = 1;

  @Parameter(names = "--model", description = "Model of the chat requests")
  private String model = "assistant";

  @Parameter(names = "--max-tokens", description = "Maximum number of tokens of an answer")
  private int maxTokens = 32;

  @Parameter(names = "--prompt-words", description = "Number of words of a prompt")
  private int promptWords = 20;

  @Parameter(
      names = "--post-rate",
      description = "POST calls with idempotency keys per second, 0 for none")
  private double postsPerSecond;

  @Parameter(names = "--post", description = "Service and path of the POST calls, as SERVICE/PATH")
  private String post = "credit/credits";

  @Parameter(names = "--deadline-ms", description = "Deadline of each request in milliseconds")
  private long deadlineMillis = 30_000;

  @Parameter(names = "--duration-s", description = "Time during which requests are sent, seconds")
  private long durationSeconds = 10;

  @Parameter(names = "--seed", description = "Seed of the arrival times and the request contents")
  private long seed = 1;

  @Parameter(names = "--json", description = "File for the result as JSON")
  private String jsonFile;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String examples() {
    return """
        zinniawood load --target http://127.0.0.1:8080 --key demo-kiosk --rate 20
        zinniawood load --target http://127.0.0.1:8080 --key demo-kiosk --rate 0 --post-rate 5
        zinniawood load --scenario bound --seed 1
        """;
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
    if (scenario != null) {
      return runScenario(out, err);
    }
    if (target == null || key == null) {
      err.println("zinniawood load: --target and --key, or --scenario, are required");
      return ExitCode.WRONG_USAGE;
    }
    LoadPlan plan;
    try {
      plan = plan();
    } catch (IllegalArgumentException invalid) {
      err.println("zinniawood load: " + invalid.getMessage());
      return ExitCode.WRONG_USAGE;
    }
    LoadResult result = new LoadGenerator(LatencyLimits.forDesignSize()).run(plan);
    out.print(LoadTextRenderer.render(result));
    if (jsonFile != null) {
      try {
        Files.writeString(Path.of(jsonFile), LoadJsonRenderer.render(result));
      } catch (IOException failure) {
        err.println("zinniawood load: cannot write " + jsonFile + ": " + failure.getMessage());
        return ExitCode.FAILED;
      }
    }
    return ExitCode.DONE;
  }

  private ExitCode runScenario(PrintStream out, PrintStream err) throws InterruptedException {
    JsonLogging.install(err, Level.SEVERE);
    Scenarios scenarios = new Scenarios(out, seed);
    switch (scenario) {
      case "bound" -> scenarios.bound();
      case "overload" -> scenarios.overload();
      case "recovery" -> scenarios.recovery();
      default -> {
        err.println(
            "zinniawood load: --scenario must be bound, overload or recovery, found " + scenario);
        return ExitCode.WRONG_USAGE;
      }
    }
    return ExitCode.DONE;
  }

  private LoadPlan plan() {
    List<Workload> workloads = new ArrayList<>();
    if (chatsPerSecond > 0) {
      workloads.add(
          new Workload(
              "chat",
              key,
              chatsPerSecond,
              new Workload.Call.Chat(model, promptWords, maxTokens, deadlineMillis)));
    }
    if (postsPerSecond > 0) {
      int slash = post.indexOf('/');
      if (slash < 1) {
        throw new IllegalArgumentException("--post must be SERVICE/PATH, found " + post);
      }
      workloads.add(
          new Workload(
              "post",
              key,
              postsPerSecond,
              new Workload.Call.Post(
                  post.substring(0, slash), post.substring(slash), deadlineMillis)));
    }
    return new LoadPlan(
        URI.create(target), workloads, durationSeconds * 1_000, deadlineMillis, seed);
  }
}
