package io.zinniawood.config.settings;

import io.zinniawood.core.id.ServiceName;
import java.net.URI;

/** Settings of the endpoint that an agent runs beside. */
public sealed interface EndpointSettings {
  /**
   * Settings of a model engine.
   *
   * @param address base address
   * @param fencing which process rejects stale fencing numbers
   */
  record Engine(URI address, FencingCheck fencing) implements EndpointSettings {}

  /**
   * Settings of a plain service.
   *
   * @param address base address
   * @param service name of the service
   * @param maxConcurrent limit of concurrent calls
   */
  record Service(URI address, ServiceName service, int maxConcurrent) implements EndpointSettings {}

  /** Which process checks the fencing numbers of orders. */
  enum FencingCheck {
    /** The engine rejects an order with a stale fencing number. */
    ENGINE_CHECKS,
    /** The engine ignores fencing numbers; only the agent checks them. */
    AGENT_ONLY
  }
}
