package io.zinniawood.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.id.DataCentreId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a relay tells the others, and at which rate. */
final class OwnLoadTest {
  private static final long MESSAGE_INTERVAL_MILLIS = 250;

  private final OwnLoad own = new OwnLoad(1);

  private Optional<LoadNotice> notice(LoadedFleet fleet, int receivers, long atMillis) {
    return own.nextNotice(
        List.of(fleet.service()), receivers, TimeUnit.MILLISECONDS.toNanos(atMillis));
  }

  // Guards against notices that exceed the control budget, or are so rare that figures expire. The
  // relays of the largest deployment send to 64 of them.
  @ParameterizedTest
  @CsvSource({"9,60", "9,300", "31,60", "31,300", "64,60", "64,300"})
  void noticesStayWithinTheirBytesAndArriveBeforeFiguresExpire(int receivers, int endpoints) {
    LoadedFleet fleet = new LoadedFleet(endpoints);
    SplittableRandom random = new SplittableRandom(5);
    long lastMillis = 0;
    for (long atMillis = 0; atMillis <= 60_000; atMillis += MESSAGE_INTERVAL_MILLIS) {
      fleet.load(random.nextInt(endpoints), 1);
      own.transferred(new DataCentreId("home"), new DataCentreId("away"), 32);
      own.requestSent(LoadedFleet.SERVICE, TimeUnit.MILLISECONDS.toNanos(atMillis));
      if (notice(fleet, receivers, atMillis).isPresent()) {
        lastMillis = atMillis;
      }
      assertThat(atMillis - lastMillis, lessThanOrEqualTo(1_750L));
      // A notice may use what was not sent in the two seconds before.
      assertThat(own.sentBytes(), lessThanOrEqualTo(2_000 * (atMillis + 2_000) / 1_000));
    }
    assertThat(own.noticesSent(), greaterThanOrEqualTo(60_000L / 2_000));
  }

  // Guards against endpoints that are never repeated as others change all the time.
  @Test
  void eachEndpointWithRequestsIsRepeatedInTimeIfThereIsRoom() {
    LoadedFleet fleet = new LoadedFleet(60);
    Map<Integer, Long> namedMillis = new HashMap<>();
    for (int index = 0; index < 60; index++) {
      fleet.load(index, 1);
    }
    for (long atMillis = 0; atMillis <= 20_000; atMillis += MESSAGE_INTERVAL_MILLIS) {
      fleet.load((int) (atMillis / MESSAGE_INTERVAL_MILLIS) % 10, 1);
      for (EndpointFigures named :
          notice(fleet, 3, atMillis).orElseThrow().services().get(0).endpoints()) {
        namedMillis.put(named.endpoint(), atMillis);
      }
      long oldestMillis = atMillis - 2_000;
      if (oldestMillis >= 0) {
        assertThat(namedMillis.size(), is(60));
        namedMillis.values().forEach(at -> assertThat(oldestMillis, lessThanOrEqualTo(at)));
      }
    }
  }

  // Guards against small changes that displace large ones, and ended requests that go untold.
  @Test
  void largestChangeIsToldFirstAlsoToZero() {
    LoadedFleet fleet = new LoadedFleet(300);
    for (int index = 0; index < 300; index++) {
      fleet.load(index, 1);
    }
    fleet.load(77, 9);
    int large = fleet.endpoints.get(77).loadHash();
    LoadNotice first = notice(fleet, 9, 1_000).orElseThrow();
    assertThat(first.services().get(0).endpoints().get(0).endpoint(), is(large));
    fleet.endpoints.get(77).addPromptTokens(-10 * 320);
    for (int request = 0; request < 10; request++) {
      fleet.endpoints.get(77).requestEnded(640);
    }
    LoadNotice second = notice(fleet, 9, 2_500).orElseThrow();
    assertThat(
        second.services().get(0).endpoints().get(0),
        is(new EndpointFigures(large, LoadFigures.NONE)));
  }

  // Guards against an idle relay whose load the others go on to estimate from their own.
  @Test
  void relayWithoutRequestsTellsSo() {
    LoadNotice notice = notice(new LoadedFleet(60), 31, 0).orElseThrow();
    assertThat(notice.services(), hasSize(1));
    assertThat(notice.services().get(0).totals(), is(LoadFigures.NONE));
    assertThat(notice.services().get(0).endpointCount(), is(60));
  }
}
