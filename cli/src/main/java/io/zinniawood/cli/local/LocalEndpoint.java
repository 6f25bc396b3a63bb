package io.zinniawood.cli.local;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.agent.AgentProcess;
import io.zinniawood.cli.process.AgentLauncher;
import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.config.settings.EndpointSettings;
import io.zinniawood.config.settings.EndpointSettings.FencingCheck;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.proxy.Direction;
import io.zinniawood.standin.proxy.FaultProxy;
import io.zinniawood.standin.service.ServiceSettings;
import io.zinniawood.standin.service.ServiceStandIn;
import io.zinniawood.wire.WireError;
import java.net.URI;
import java.util.Optional;

/** Endpoint stand-in with its agent, reached through a fault-injecting proxy. */
public final class LocalEndpoint implements AutoCloseable {
  private static final long KEPT_OUTPUT_BYTES = 16L * 1024 * 1024;
  private static final long GRACE_PERIOD_MILLIS = 30_000;

  private final EndpointPlan plan;
  private final FaultProxy proxy;
  private final Optional<EngineStandIn> engine;
  private final Optional<ServiceStandIn> service;
  private final AgentProcess agent;

  private LocalEndpoint(
      EndpointPlan plan,
      FaultProxy proxy,
      Optional<EngineStandIn> engine,
      Optional<ServiceStandIn> service,
      AgentProcess agent) {
    this.plan = plan;
    this.proxy = proxy;
    this.engine = engine;
    this.service = service;
    this.agent = agent;
  }

  /** Starts the stand-in, the agent and the proxy in front of the agent. */
  static LocalEndpoint start(EndpointPlan plan, URI platform) {
    NodeAddress address = Ports.free();
    FaultProxy proxy = proxy(address, plan.linkMillis());
    if (plan instanceof EndpointPlan.Engine enginePlan) {
      EngineStandIn engine = new EngineStandIn(enginePlan.engine());
      EndpointSettings endpointSettings =
          new EndpointSettings.Engine(loopbackUri(engine.start(0)), FencingCheck.AGENT_ONLY);
      return new LocalEndpoint(
          plan,
          proxy,
          Optional.of(engine),
          Optional.empty(),
          agent(plan, address, proxy, platform, endpointSettings));
    }
    EndpointPlan.Service servicePlan = (EndpointPlan.Service) plan;
    ServiceStandIn service = new ServiceStandIn(new ServiceSettings(0, servicePlan.callMillis()));
    EndpointSettings endpointSettings =
        new EndpointSettings.Service(
            loopbackUri(service.start(0)),
            new ServiceName(servicePlan.service()),
            servicePlan.maxConcurrent());
    return new LocalEndpoint(
        plan,
        proxy,
        Optional.empty(),
        Optional.of(service),
        agent(plan, address, proxy, platform, endpointSettings));
  }

  private static URI loopbackUri(int port) {
    return URI.create("http://127.0.0.1:" + port);
  }

  private static FaultProxy proxy(NodeAddress address, long delayMillis) {
    FaultProxy proxy = FaultProxy.launch(address.port());
    proxy.setDelayMillis(Direction.TO_TARGET, delayMillis);
    proxy.setDelayMillis(Direction.TO_CLIENT, delayMillis);
    return proxy;
  }

  private static AgentProcess agent(
      EndpointPlan plan,
      NodeAddress address,
      FaultProxy proxy,
      URI platform,
      EndpointSettings endpointSettings) {
    AgentSettings settings =
        new AgentSettings(
            new EndpointId(plan.endpoint()),
            new DataCentreId(plan.dataCentre()),
            new PoolId(plan.pool()),
            address,
            platform,
            endpointSettings,
            KEPT_OUTPUT_BYTES,
            GRACE_PERIOD_MILLIS,
            Option.none());
    Either<WireError, AgentProcess> created =
        AgentLauncher.create(settings, new NodeAddress(address.host(), proxy.port()));
    AgentProcess agent = created.getOrElseThrow(error -> new IllegalStateException(error.detail()));
    agent.start().getOrElseThrow(error -> new IllegalStateException(error.detail()));
    return agent;
  }

  /** Returns the plan from which the endpoint was started. */
  public EndpointPlan plan() {
    return plan;
  }

  /** Returns the address that the agent advertises, which is that of the proxy. */
  public NodeAddress address() {
    return new NodeAddress("127.0.0.1", proxy.port());
  }

  /** Returns the proxy between the agent and its peers. */
  public FaultProxy proxy() {
    return proxy;
  }

  /** Returns the engine stand-in, or empty for a plain service. */
  public Optional<EngineStandIn> engine() {
    return engine;
  }

  /** Returns the service stand-in, or empty for an engine. */
  public Optional<ServiceStandIn> service() {
    return service;
  }

  /** Returns the agent beside the stand-in. */
  public AgentProcess agent() {
    return agent;
  }

  /** Closes the proxy, the agent and the stand-in without a drain, as in a VM failure. */
  @Override
  public void close() {
    proxy.close();
    agent.close();
    engine.ifPresent(EngineStandIn::close);
    service.ifPresent(ServiceStandIn::close);
  }
}
