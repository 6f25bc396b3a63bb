package io.zinniawood.telemetry;

import java.util.Optional;

/**
 * Structured fields of a log line, such as the request id. It is passed as a parameter of the log
 * call; {@link JsonLineFormatter} writes its fields next to the message.
 *
 * @param request request id
 * @param clientAccount id of the client account
 * @param endpoint id of the endpoint
 * @param incarnation incarnation of the endpoint's agent
 * @param generation generation of the configuration
 * @param outcome outcome of the request
 */
public record LogContext(
    Optional<String> request,
    Optional<String> clientAccount,
    Optional<String> endpoint,
    Optional<Long> incarnation,
    Optional<Long> generation,
    Optional<String> outcome) {
  private static final LogContext EMPTY =
      new LogContext(
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty());

  /** Returns a context without fields. */
  public static LogContext empty() {
    return EMPTY;
  }

  /** Returns this context with a request id. */
  public LogContext withRequest(String value) {
    return new LogContext(
        Optional.of(value), clientAccount, endpoint, incarnation, generation, outcome);
  }

  /** Returns this context with a client account. */
  public LogContext withClientAccount(String value) {
    return new LogContext(request, Optional.of(value), endpoint, incarnation, generation, outcome);
  }

  /** Returns this context with an endpoint. */
  public LogContext withEndpoint(String value) {
    return new LogContext(
        request, clientAccount, Optional.of(value), incarnation, generation, outcome);
  }

  /** Returns this context with an incarnation. */
  public LogContext withIncarnation(long value) {
    return new LogContext(
        request, clientAccount, endpoint, Optional.of(value), generation, outcome);
  }

  /** Returns this context with a configuration generation. */
  public LogContext withGeneration(long value) {
    return new LogContext(
        request, clientAccount, endpoint, incarnation, Optional.of(value), outcome);
  }

  /** Returns this context with an outcome. */
  public LogContext withOutcome(String value) {
    return new LogContext(
        request, clientAccount, endpoint, incarnation, generation, Optional.of(value));
  }
}
