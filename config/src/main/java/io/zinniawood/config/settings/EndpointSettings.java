package io.zinniawood.config.settings;

import io.zinniawood.core.id.ServiceName;
import java.net.URI;

/** What stands beside an agent. */
public sealed interface EndpointSettings {
  /**
   * A model engine.
   *
   * @param address base address
   * @param fencing whether the engine refuses old fencing numbers
   */
  record Engine(URI address, FencingCheck fencing) implements EndpointSettings {}

  /**
   * A plain service.
   *
   * @param address base address
   * @param service name of the service
   * @param maxConcurrent most concurrent calls
   */
  record Service(URI address, ServiceName service, int maxConcurrent) implements EndpointSettings {}

  /** Tells whether an engine checks fencing numbers. */
  enum FencingCheck {
    /** The engine refuses an order with an old number. */
    ENGINE_CHECKS,
    /** The engine ignores the number; the agent alone guards it. */
    AGENT_ONLY
  }
}
