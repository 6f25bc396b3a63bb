package io.zinniawood.core.fleet;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Time for which an endpoint wants no requests from this process, and the gradual return of
 * requests afterwards. It says nothing about the health of the endpoint. A later start of the
 * endpoint ends it.
 */
public final class EndpointPause {
  /**
   * Time after a pause in which one more request may be unanswered, so that a request without an
   * answer does not keep the others away.
   */
  private static final long RETURN_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private boolean stated;
  private long startedMillis;
  private long untilNanos;
  private Return gradualReturn = new Return();

  /** Requests that were sent after a pause. */
  private static final class Return {
    private int unanswered;
    private int answered;
  }

  /** One request that was sent during the gradual return. */
  public static final class Trial {
    private final Return gradualReturn;
    private boolean ended;

    private Trial(Return gradualReturn) {
      this.gradualReturn = gradualReturn;
      gradualReturn.unanswered++;
    }

    /** Records that the endpoint accepted the request. */
    public void accepted() {
      if (!ended) {
        gradualReturn.answered++;
      }
      end();
    }

    /** Records that the request is no longer at the endpoint. */
    public void end() {
      if (!ended) {
        ended = true;
        gradualReturn.unanswered--;
      }
    }
  }

  /** Extends the pause of this start, or begins that of a later one. */
  void extend(long statedByStartedMillis, long newUntilNanos) {
    if (stated && statedByStartedMillis < startedMillis) {
      return;
    }
    boolean shorter =
        stated && statedByStartedMillis == startedMillis && newUntilNanos - untilNanos < 0;
    stated = true;
    startedMillis = statedByStartedMillis;
    untilNanos = shorter ? untilNanos : newUntilNanos;
    gradualReturn = new Return();
  }

  private boolean appliesTo(long listedStartedMillis) {
    return stated && listedStartedMillis <= startedMillis;
  }

  /** Returns whether this start of the endpoint wants no requests at a time. */
  boolean activeAt(long listedStartedMillis, long atNanos) {
    return appliesTo(listedStartedMillis) && atNanos - untilNanos < 0;
  }

  /** Returns the monotonic time in nanoseconds at which the pause ends. */
  long untilNanos() {
    return untilNanos;
  }

  /** Returns whether requests return gradually and no further one may be sent now. */
  boolean fullAt(long listedStartedMillis, int slots, long nowNanos) {
    return returningAt(listedStartedMillis, slots, nowNanos)
        && gradualReturn.unanswered >= allowedAt(nowNanos);
  }

  private boolean returningAt(long listedStartedMillis, int slots, long nowNanos) {
    return appliesTo(listedStartedMillis)
        && nowNanos - untilNanos >= 0
        && allowedAt(nowNanos) < slots;
  }

  private long allowedAt(long nowNanos) {
    return 1 + gradualReturn.answered + (nowNanos - untilNanos) / RETURN_STEP_NANOS;
  }

  /** Counts a request that is sent, if requests return gradually. */
  Optional<Trial> requestSent(long listedStartedMillis, int slots, long nowNanos) {
    return returningAt(listedStartedMillis, slots, nowNanos)
        ? Optional.of(new Trial(gradualReturn))
        : Optional.empty();
  }
}
