package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.id.EndpointId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays 32 relays that tell each other their load, beside 32 that do not. */
final class RelaySharedLoadTest {
  private static final int RELAYS = 32;
  private static final double REQUESTS_PER_SECOND = 1.5;

  private static SharedLoadFleet fleet(SchedulingSettings.Mode loadSharing, long seed) {
    return new SharedLoadFleet(RELAYS, loadSharing, seed);
  }

  // Guards against relays that all begin at the fastest endpoints. A ratio of 7 means that each
  // request took the same accelerators.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void busiestEndpointGetsFewerOfTheFirstRequests(long seed) {
    SharedLoadFleet apart = fleet(SchedulingSettings.Mode.OFF, seed);
    SharedLoadFleet shared = fleet(SchedulingSettings.Mode.ON, seed);
    apart.run(500, REQUESTS_PER_SECOND);
    shared.run(500, REQUESTS_PER_SECOND);
    assertThat(shared.requests(), greaterThan(RELAYS / 2));
    assertThat(shared.busiestToMean(), lessThan(apart.busiestToMean()));
  }

  // Guards against beliefs that multiply the few requests of one relay, also if messages get lost.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void beliefsAreCloserToTheLoadWithinTheBoundOnBytes(long seed) {
    SharedLoadFleet apart = fleet(SchedulingSettings.Mode.OFF, seed);
    SharedLoadFleet shared = fleet(SchedulingSettings.Mode.ON, seed);
    apart.loadUnevenly();
    shared.loadUnevenly();
    shared.loseMessages(0.1);
    apart.run(4_000, 1);
    shared.run(4_000, 1);
    assertThat(error(shared), lessThan(error(apart)));
    // A notice may use what was not sent in the two seconds before.
    assertThat(shared.mostNoticeBytes(), lessThanOrEqualTo(2_000L * (4 + 2)));
  }

  /** Returns the mean error of the beliefs about fast endpoints, relative to their load. */
  private static double error(SharedLoadFleet fleet) {
    double sum = 0;
    int beliefs = 0;
    for (int from = 0; from < 80; from += 10) {
      EndpointId fastest = new EndpointId("i-%d-0".formatted(from));
      int actual = fleet.requestsInFlight(fastest);
      for (double believed : fleet.believedRequests(fastest)) {
        sum += Math.abs(believed - actual) / actual;
        beliefs++;
      }
    }
    return sum / beliefs;
  }
}
