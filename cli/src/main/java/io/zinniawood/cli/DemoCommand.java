package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.zinniawood.cli.local.DemoPlan;
import io.zinniawood.cli.local.DemoRequests;
import io.zinniawood.cli.local.LocalCluster;
import io.zinniawood.telemetry.JsonLogging;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

/** Starts a local cluster on loopback and sends a request of each kind. */
@Parameters(
    commandDescription = "Start the whole system on loopback and send requests of each kind")
final class DemoCommand extends HelpOption implements Command {
  @Parameter(
      names = "--keep",
      description = "Keep the system running after the requests until interrupted")
  private boolean keep;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String examples() {
    return """
        zinniawood demo
        zinniawood demo --keep
        """;
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
    // Keeps the log records of entries and agents, except errors, out of the printed results.
    JsonLogging.install(err, Level.SEVERE);
    out.println("Starting 3 entries, 18 endpoints with agents and the platform on loopback.");
    try (LocalCluster cluster = LocalCluster.start(DemoPlan.plan())) {
      boolean answered = new DemoRequests(cluster, out).run();
      if (keep) {
        out.println("Callers:   " + cluster.callersUri(0));
        out.println("Reports:   " + cluster.adminUri(0) + "/reports");
        out.println("Platform:  " + cluster.platformUri());
        out.println("Press Ctrl-C to stop.");
        new CountDownLatch(1).await();
      }
      return answered ? ExitCode.DONE : ExitCode.FAILED;
    }
  }
}
