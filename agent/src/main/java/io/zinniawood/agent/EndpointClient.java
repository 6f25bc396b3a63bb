package io.zinniawood.agent;

import io.zinniawood.core.id.ServiceName;
import io.zinniawood.engine.ModelEngine;
import io.zinniawood.engine.PlainServiceClient;

/** Client of what stands beside an agent. */
public sealed interface EndpointClient {
  /**
   * A model engine.
   *
   * @param engine the engine
   */
  record Engine(ModelEngine engine) implements EndpointClient {}

  /**
   * A plain service.
   *
   * @param client the client
   * @param service name of the service
   * @param maxConcurrent most concurrent calls, at least 1
   */
  record Service(PlainServiceClient client, ServiceName service, int maxConcurrent)
      implements EndpointClient {}
}
