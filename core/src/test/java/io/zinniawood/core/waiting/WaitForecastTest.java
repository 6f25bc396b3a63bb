package io.zinniawood.core.waiting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the forecast in virtual time. */
final class WaitForecastTest {
  private final WaitForecast forecast = new WaitForecast();
  private long nowNanos;

  private void arrive(int perSecond, int endsPerSecond, int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
      for (int index = 0; index < perSecond / 10; index++) {
        forecast.arrived(nowNanos);
      }
      for (int index = 0; index < endsPerSecond / 10; index++) {
        forecast.ended(nowNanos, 1_000);
      }
    }
  }

  private WaitQuery query(int ahead, long targetMillis, long limitMillis) {
    return new WaitQuery(
        nowNanos,
        ahead,
        0,
        1,
        3,
        nowNanos + TimeUnit.MILLISECONDS.toNanos(targetMillis),
        nowNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis));
  }

  // Guards against refusals by a rate that a few ends do not give.
  @Test
  void rateIsUnknownBelowFiveEnds() {
    for (int end = 0; end < 4; end++) {
      forecast.ended(end, 1_000);
    }
    assertThat(forecast.decide(query(100, 500, 3_000)), is(WaitVerdict.UNKNOWN));
    forecast.ended(5, 1_000);
    assertThat(forecast.rateKnown(), is(true));
  }

  // Guards against requests that wait in vain, and against a Retry-After beyond the caller's time.
  @Test
  void refusesAtOnceWhatCannotBeSentInTime() {
    arrive(30, 20, 10);
    assertThat(forecast.waitMillis(query(8, 500, 3_000)), closeTo(400, 40));
    assertThat(forecast.decide(query(8, 500, 3_000)), is(WaitVerdict.IN_TIME));
    assertThat(forecast.decide(query(16, 500, 3_000)), is(WaitVerdict.REFUSE));
    assertThat(
        forecast.retryAfterMillis(query(16, 500, 3_000), 0.9), is(greaterThanOrEqualTo(275L)));
    assertThat(forecast.retryAfterMillis(query(200, 500, 3_000), 0.9), is(1_000L));
    assertThat(forecast.retryAfterMillis(query(0, 500, 1), 0), is(greaterThanOrEqualTo(1L)));
  }

  // Guards against refusals while the queue shrinks and a late answer is still of use.
  @Test
  void shrinkingQueueKeepsRequestsThatWouldBeLate() {
    arrive(30, 20, 10);
    arrive(0, 20, 2);
    assertThat(forecast.decide(query(16, 500, 3_000)), is(WaitVerdict.LATE));
    assertThat(forecast.decide(query(40, 500, 3_000)), is(WaitVerdict.REFUSE));
  }

  // Guards against a rate that low demand has left too low, where many requests end soon.
  @Test
  void requestsInFlightCountAfterLowDemand() {
    arrive(10, 10, 5);
    nowNanos += TimeUnit.SECONDS.toNanos(60);
    assertThat(forecast.waitMillis(query(3, 500, 3_000)), is(lessThanOrEqualTo(1_100.0)));
  }
}
