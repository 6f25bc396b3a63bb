package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests relays that share endpoints which name a limit in their answers. */
final class RelayLimitsTest {
  private static final long LEARN_MILLIS = 3_000;

  private static double allowed(double requestsPerSecond) {
    return 1.5 * requestsPerSecond * LimitedFleet.SPAN_MILLIS / 1_000 + 5;
  }

  private static LimitedFleet fleet(int relays) {
    LimitedFleet fleet = new LimitedFleet(relays, 1);
    fleet.addEndpoint("a");
    fleet.addEndpoint("b");
    return fleet;
  }

  /** Advances the time and checks each span, from which on all relays know the limit. */
  private static void keepsTo(LimitedFleet fleet, double requestsPerSecond, long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += LimitedFleet.STEP_MILLIS) {
      fleet.step();
      assertThat(
          "at %d ms".formatted(fleet.nowMillis()),
          (double) fleet.arrivals("a", LimitedFleet.SPAN_MILLIS),
          lessThanOrEqualTo(allowed(requestsPerSecond)));
    }
  }

  private static LimitedFleet limitedFleet(
      int relays, double requestsPerSecond, String... endpoints) {
    LimitedFleet fleet = new LimitedFleet(relays, 1);
    for (String endpoint : endpoints) {
      fleet.addEndpoint(endpoint);
    }
    fleet.startAll(20, 5, 5);
    fleet.advance(12_000);
    fleet.nameLimit("a", requestsPerSecond);
    fleet.advance(LEARN_MILLIS + LimitedFleet.SPAN_MILLIS);
    return fleet;
  }

  // Guards against relays that together send more than the limit of an endpoint.
  @ParameterizedTest
  @CsvSource({"3, 1", "3, 2.9", "3, 8", "2, 0.5", "13, 1", "13, 6", "1, 4"})
  void relaysTogetherKeepToTheLimitAndOthersTakeTheRest(int relays, double requestsPerSecond) {
    LimitedFleet fleet = limitedFleet(relays, requestsPerSecond, "a", "b");
    keepsTo(fleet, requestsPerSecond, 20_000);
    assertThat(fleet.refused(), is(0));
  }

  // Guards against shares that lie idle while other relays refuse requests.
  @ParameterizedTest
  @CsvSource({"3, 1", "3, 2.9", "3, 8", "2, 0.5", "13, 1", "13, 6", "1, 4"})
  void limitIsUsedWhollyWhereNoOtherEndpointIsLeft(int relays, double requestsPerSecond) {
    LimitedFleet fleet = limitedFleet(relays, requestsPerSecond, "a");
    long before = fleet.arrivals("a", Long.MAX_VALUE);
    keepsTo(fleet, requestsPerSecond, 40_000);
    double used = (fleet.arrivals("a", Long.MAX_VALUE) - before) / 40.0;
    assertThat(used, greaterThan(0.9 * requestsPerSecond));
    assertThat(used, lessThanOrEqualTo(1.05 * requestsPerSecond + 0.1));
  }

  private static void servesEverythingAgain(LimitedFleet fleet) {
    int refused = fleet.refused();
    long before = fleet.arrivals("a", Long.MAX_VALUE);
    fleet.advance(4_000);
    assertThat(fleet.refused(), is(refused));
    assertThat(fleet.arrivals("a", Long.MAX_VALUE) - before, is(4L * 30));
  }

  // Guards against a limit that stays when the endpoint names none any more.
  @Test
  void limitEndsWithTheFirstAnswerThatNamesNone() {
    LimitedFleet fleet = limitedFleet(3, 1, "a");
    fleet.endLimit("a");
    fleet.advance(7_000);
    servesEverythingAgain(fleet);
  }

  // Guards against a limit of a former process that binds its successor.
  @Test
  void restartOfTheEndpointEndsTheLimit() {
    LimitedFleet fleet = limitedFleet(3, 1, "a");
    fleet.restartEndpoint("a");
    fleet.advance(1_000);
    servesEverythingAgain(fleet);
  }

  // Guards against relays cut off from each other that each take the whole limit.
  @Test
  void relaysThatDoNotHearEachOtherKeepToTheLimit() {
    LimitedFleet fleet = fleet(3);
    fleet.startAll(20);
    fleet.advance(12_000);
    fleet.nameLimit("a", 3);
    fleet.advance(LEARN_MILLIS + LimitedFleet.SPAN_MILLIS);
    fleet.cut(0, 1);
    fleet.cut(0, 2);
    fleet.cut(1, 2);
    keepsTo(fleet, 3, 60_000);
  }
}
