package io.zinniawood.entry.internal;

import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.entry.CurrentGeneration;
import io.zinniawood.entry.EntryObserver;
import io.zinniawood.entry.internal.admin.EntryMetrics;
import io.zinniawood.telemetry.LogContext;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;

/** Records request results and incidents in the metrics, the log and the observer. */
public final class EntryRecorder {
  private final EntryMetrics metrics;
  private final EntryObserver observer;
  private final CurrentGeneration generation;
  private final Logger logger;

  /**
   * Creates a recorder.
   *
   * @param metrics counts results and incidents
   * @param observer is notified of results and incidents
   * @param generation configuration generation for the log context
   * @param logger receives the log lines
   */
  public EntryRecorder(
      EntryMetrics metrics, EntryObserver observer, CurrentGeneration generation, Logger logger) {
    this.metrics = metrics;
    this.observer = observer;
    this.generation = generation;
    this.logger = logger;
  }

  /** Records the result of a request. */
  public void record(RequestResult result) {
    metrics.count(result);
    observer.onResult(result);
    // An entry completes 64 requests/s at the design load, so by default only requests with an
    // unknown outcome are logged.
    Level level = result.outcome() == Outcome.UNKNOWN ? Level.WARNING : Level.DEBUG;
    if (logger.isLoggable(level)) {
      logger.log(
          level,
          "request to {1} ended with {2} after {3} ms",
          context(result),
          result.target(),
          result.problem().map(ProblemType::slug).getOrElse("an answer"),
          TimeUnit.NANOSECONDS.toMillis(result.durationNanos()));
    }
  }

  private LogContext context(RequestResult result) {
    LogContext context =
        LogContext.empty()
            .withRequest(result.request().value())
            .withClientAccount(result.clientAccount().value())
            .withGeneration(generation.get().value())
            .withOutcome(result.outcome().text());
    return result
        .endpoint()
        .fold(() -> context, endpoint -> context.withEndpoint(endpoint.value()));
  }

  /** Records an incident. */
  public void record(Incident incident) {
    metrics.count(incident);
    observer.onIncident(incident);
    logger.log(
        Level.INFO,
        "{1} {2}: {3}",
        LogContext.empty().withGeneration(generation.get().value()),
        incident.kind(),
        incident.subject(),
        incident.detail());
  }
}
