package io.zinniawood.cli.local;

import io.zinniawood.standin.engine.EngineSettings;

/** One endpoint of a local cluster. */
public sealed interface EndpointPlan {
  /** Returns the id of the endpoint and its VM. */
  String endpoint();

  /** Returns the data centre. */
  String dataCentre();

  /** Returns the pool. */
  String pool();

  /**
   * A model engine.
   *
   * @param endpoint id of the endpoint
   * @param dataCentre data centre
   * @param pool pool
   * @param engine settings of the engine stand-in
   */
  record Engine(String endpoint, String dataCentre, String pool, EngineSettings engine)
      implements EndpointPlan {}

  /**
   * A plain service.
   *
   * @param endpoint id of the endpoint
   * @param dataCentre data centre
   * @param pool pool
   * @param service name of the service
   * @param callMillis time of each call in milliseconds
   * @param maxConcurrent most concurrent calls
   */
  record Service(
      String endpoint,
      String dataCentre,
      String pool,
      String service,
      long callMillis,
      int maxConcurrent)
      implements EndpointPlan {}
}
