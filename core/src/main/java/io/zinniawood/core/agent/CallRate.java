package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.ServiceAnswer;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Limit on the calls a second that the plain service names in its answers. All calls of the service
 * pass through this agent, so it keeps the limit for all entries together.
 *
 * @param callsPerSecond limit; infinite if the service names none
 * @param permits number of calls that may start now; negative after a limit was lowered
 * @param atNanos time in nanoseconds for which the permits were computed
 * @param namedNanos time in nanoseconds of the last answer that names the limit
 */
record CallRate(double callsPerSecond, double permits, long atNanos, long namedNanos) {
  /** Header of an answer with the calls a second that the service takes. */
  static final String HEADER = "Request-Limit";

  /** Time of the rate for which permits are kept; one permit at least. */
  private static final double MAX_PERMIT_SECONDS = 0.5;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  static CallRate unlimited() {
    return new CallRate(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, 0);
  }

  private boolean limited() {
    return Double.isFinite(callsPerSecond);
  }

  /** Returns whether a call may start. */
  boolean permitsCall(long nowNanos) {
    return !limited() || permitsAt(nowNanos) >= 1;
  }

  private double permitsAt(long nowNanos) {
    double refilled = callsPerSecond * (nowNanos - atNanos) / NANOS_PER_SECOND;
    return Math.min(maxPermits(callsPerSecond), permits + refilled);
  }

  private static double maxPermits(double callsPerSecond) {
    return Math.max(1, callsPerSecond * MAX_PERMIT_SECONDS);
  }

  /** Returns the rate after a call started. */
  CallRate callStarted(long nowNanos) {
    return limited()
        ? new CallRate(callsPerSecond, permitsAt(nowNanos) - 1, nowNanos, namedNanos)
        : this;
  }

  /**
   * Returns the time until a call may start, in nanoseconds.
   *
   * @param ahead number of calls that start before
   */
  long nanosUntilCall(long ahead, long nowNanos) {
    double missing = limited() ? 1 + ahead - permitsAt(nowNanos) : 0;
    return missing <= 0 ? 0 : (long) Math.ceil(missing / callsPerSecond * NANOS_PER_SECOND);
  }

  /**
   * Returns the rate after an answer. The answer ends the limit only if its call started after the
   * last answer that named one.
   */
  CallRate answered(Vector<HttpHeader> headers, long startedNanos, long nowNanos) {
    StatedLimit stated = statedLimit(headers);
    if (stated instanceof StatedLimit.Rate rate) {
      double limit = Math.max(StatedLimit.MIN_REQUESTS_PER_SECOND, rate.requestsPerSecond());
      double held = limited() ? permitsAt(nowNanos) : 0;
      return new CallRate(limit, Math.min(held, maxPermits(limit)), nowNanos, nowNanos);
    }
    boolean ended = stated instanceof StatedLimit.None && startedNanos - namedNanos >= 0;
    return limited() && ended ? unlimited() : this;
  }

  /** Returns the answer without the limit, which concerns this agent only. */
  static ServiceAnswer withoutLimit(ServiceAnswer answer) {
    return new ServiceAnswer(
        answer.status(),
        answer.headers().reject(header -> header.name().equalsIgnoreCase(HEADER)),
        answer.body());
  }

  private static StatedLimit statedLimit(Vector<HttpHeader> headers) {
    List<String> values =
        headers
            .filter(header -> header.name().equalsIgnoreCase(HEADER))
            .map(header -> header.value().trim())
            .asJava();
    return StatedLimit.of(values);
  }
}
