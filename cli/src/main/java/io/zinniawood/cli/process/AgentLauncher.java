package io.zinniawood.cli.process;

import io.netty.util.internal.PlatformDependent;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.agent.AgentDependencies;
import io.zinniawood.agent.AgentProcess;
import io.zinniawood.agent.EndpointClient;
import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.config.settings.EndpointSettings;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.engine.http.HttpModelEngine;
import io.zinniawood.engine.http.HttpPlainServiceClient;
import io.zinniawood.store.claim.ClaimRowCodec;
import io.zinniawood.store.http.HttpPlatform;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import io.zinniawood.wire.WireTransports;
import java.security.SecureRandom;
import okhttp3.OkHttpClient;

/** Creates agents from their settings. */
public final class AgentLauncher {
  private static final int WIRE_THREADS = 1;

  /** Share of the direct memory for peers: three quarters, 12 MiB of 16 MiB. */
  private static final int WIRE_MEMORY_DIVISOR = 4;

  private static final int WIRE_MEMORY_FACTOR = 3;

  private AgentLauncher() {}

  /** Returns an agent that is not started, or an error if its certificates cannot be read. */
  public static Either<WireError, AgentProcess> create(AgentSettings settings) {
    return create(settings, settings.peers());
  }

  /**
   * Returns an agent that is not started and that advertises another address than the one on which
   * it listens, so that its peers connect through a proxy.
   */
  public static Either<WireError, AgentProcess> create(
      AgentSettings settings, NodeAddress advertised) {
    SecureRandom random = new SecureRandom();
    Incarnation incarnation = new Incarnation(random.nextLong());
    AgentIdentity identity =
        new AgentIdentity(
            settings.endpoint(), incarnation, settings.dataCentre(), settings.pool(), advertised);
    WirePeer self =
        new WirePeer(
            settings.endpoint().value(),
            VmRole.ENDPOINT,
            incarnation,
            settings.dataCentre(),
            Option.some(identity));
    OkHttpClient client = new OkHttpClient();
    return WireTransports.overTcp(
            self,
            () -> new Generation(0),
            WireTiming.defaults(),
            EntryLauncher.tls(settings.tls()),
            PlatformDependent.maxDirectMemory() / WIRE_MEMORY_DIVISOR * WIRE_MEMORY_FACTOR,
            WIRE_THREADS)
        .map(
            transport ->
                new AgentProcess(
                    new AgentDependencies(
                        settings,
                        incarnation,
                        random.nextLong(),
                        transport,
                        new HttpPlatform(settings.platform(), client).table(),
                        new ClaimRowCodec(),
                        client(settings.endpointSettings(), client),
                        System::nanoTime)));
  }

  private static EndpointClient client(EndpointSettings settings, OkHttpClient client) {
    if (settings instanceof EndpointSettings.Service service) {
      return new EndpointClient.Service(
          new HttpPlainServiceClient(service.address(), client),
          service.service(),
          service.maxConcurrent());
    }
    EndpointSettings.Engine engine = (EndpointSettings.Engine) settings;
    return new EndpointClient.Engine(new HttpModelEngine(engine.address(), client));
  }
}
