package io.zinniawood.agent;

import io.zinniawood.core.id.ServiceName;
import io.zinniawood.engine.ModelEngine;
import io.zinniawood.engine.PlainServiceClient;

/** Client of the endpoint, a model engine or a plain service, beside which an agent runs. */
public sealed interface EndpointClient {
  /**
   * Endpoint that is a model engine.
   *
   * @param engine client of the engine
   */
  record Engine(ModelEngine engine) implements EndpointClient {}

  /**
   * Endpoint that is a plain service.
   *
   * @param client client of the service
   * @param service name of the service
   * @param maxConcurrent maximum number of concurrent calls, at least 1
   */
  record Service(PlainServiceClient client, ServiceName service, int maxConcurrent)
      implements EndpointClient {}
}
