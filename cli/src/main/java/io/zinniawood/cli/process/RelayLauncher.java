package io.zinniawood.cli.process;

import io.zinniawood.config.settings.RelaySettings;
import io.zinniawood.config.settings.RelaySettings.FirstStart;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.platform.PlatformHeaderCodec;
import io.zinniawood.platform.UsersPlatformClient;
import io.zinniawood.relay.RelayAddresses;
import io.zinniawood.relay.RelayProcess;
import io.zinniawood.telemetry.DecisionLog;

/** Starts relays from their settings. */
public final class RelayLauncher {
  private RelayLauncher() {}

  /**
   * Starts a relay on the platform of the users and writes its decisions to the log.
   *
   * @throws InterruptedException if the thread is interrupted while the ports are bound
   */
  public static RelayProcess start(RelaySettings settings, DecisionLog log)
      throws InterruptedException {
    RelayParameters parameters =
        new RelayParameters(
            settings.vm(),
            settings.dataCentre(),
            settings.peers(),
            settings.firstStart() == FirstStart.TRUE,
            settings.gracePeriodMillis(),
            settings.scheduling(),
            System.nanoTime());
    RelayProcess relay =
        new RelayProcess(
            parameters,
            new RelayAddresses(settings.callers(), settings.admin()),
            new PlatformHeaderCodec(),
            log);
    boolean started = false;
    try {
      relay.start(
          client ->
              new UsersPlatformClient(
                  settings.store(),
                  client,
                  decision -> log.add(decision.event(), decision.fields())));
      started = true;
    } finally {
      // Its event loop would keep a process alive that serves nobody.
      if (!started) {
        relay.close();
      }
    }
    return relay;
  }
}
