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

  /** Returns the added delay of the link to the endpoint in milliseconds, one way. */
  long linkMillis();

  /**
   * A model engine.
   *
   * @param endpoint id of the endpoint
   * @param dataCentre data centre
   * @param pool pool
   * @param linkMillis added delay of the link to the endpoint in milliseconds, one way
   * @param engine settings of the engine stand-in
   */
  record Engine(
      String endpoint, String dataCentre, String pool, long linkMillis, EngineSettings engine)
      implements EndpointPlan {}

  /**
   * A plain service.
   *
   * @param endpoint id of the endpoint
   * @param dataCentre data centre
   * @param pool pool
   * @param linkMillis added delay of the link to the endpoint in milliseconds, one way
   * @param service name of the service
   * @param callMillis time of each call in milliseconds
   * @param maxConcurrent most concurrent calls
   */
  record Service(
      String endpoint,
      String dataCentre,
      String pool,
      long linkMillis,
      String service,
      long callMillis,
      int maxConcurrent)
      implements EndpointPlan {}
}
