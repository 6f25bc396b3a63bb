package io.zinniawood.cli.local;

import io.zinniawood.standin.engine.EngineSettings;

/** Plan of an endpoint of a local cluster. */
public sealed interface EndpointPlan {
  /** Returns the id of the endpoint, which is also that of its VM. */
  String endpoint();

  /** Returns the data centre of the VM. */
  String dataCentre();

  /** Returns the pool of the VM. */
  String pool();

  /** Returns the added delay of the link to the endpoint in milliseconds, one way. */
  long linkMillis();

  /**
   * Endpoint with a model engine.
   *
   * @param endpoint id of the endpoint
   * @param dataCentre data centre of the VM
   * @param pool pool of the VM
   * @param linkMillis added delay of the link to the endpoint in milliseconds, one way
   * @param engine settings of the engine stand-in
   */
  record Engine(
      String endpoint, String dataCentre, String pool, long linkMillis, EngineSettings engine)
      implements EndpointPlan {}

  /**
   * Endpoint with a plain service.
   *
   * @param endpoint id of the endpoint
   * @param dataCentre data centre of the VM
   * @param pool pool of the VM
   * @param linkMillis added delay of the link to the endpoint in milliseconds, one way
   * @param service name of the service
   * @param callMillis duration of each call in milliseconds
   * @param maxConcurrent maximum number of concurrent calls
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
