package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests refusals of endpoints that want no requests for a time. */
final class RelayPausesTest {
  private static final EndpointId A = new EndpointId("a");

  private final RelayHarness relay = new RelayHarness();
  private final FleetEndpoint endpoint = relay.plain("a");

  private TrackedEndpoint tracked() {
    return relay.state().fleet.find(A).orElseThrow();
  }

  private void pausePlain(long millis) {
    relay.list(endpoint);
    relay.refusedFor(relay.request("read"), 1, millis);
  }

  private long retryAfterMillis(RelayRequestId id) {
    LocalAnswer answer = relay.localAnswer(id).orElseThrow();
    assertThat(answer.status(), is(503));
    return answer.retryAfterMillis().orElseThrow();
  }

  // Guards against attempts within the time for which an endpoint wants none, and after it.
  @Test
  void refusedTimeIsKeptExactlyAndLeavesNothingBehind() {
    pausePlain(6_000);
    relay.advanceMillis(5_900);
    assertThat(relay.sends(relay.request("read")), hasSize(0));
    relay.advanceMillis(100);
    assertThat(tracked().suspectedAt(0), is(false));
    assertThat(tracked().failureRate(), is(0.0));
    assertThat(relay.sends(relay.request("read")), hasSize(1));
  }

  // Guards against callers that wait in vain, or come back before an endpoint accepts requests.
  @Test
  void requestIsRefusedAtOnceUntilTheEarliestEnd() {
    relay.list(endpoint, relay.plain("b"));
    RelayRequestId first = relay.request("read");
    relay.refusedFor(first, 1, 4_000);
    relay.refusedFor(first, 2, 1_000);
    assertThat(
        retryAfterMillis(first), allOf(greaterThanOrEqualTo(1_000L), lessThanOrEqualTo(1_250L)));
    assertThat(
        retryAfterMillis(relay.request("book")),
        allOf(greaterThanOrEqualTo(1_000L), lessThanOrEqualTo(1_250L)));
  }

  // Guards against a layer whose holders all refuse, while other layers have free holders.
  @Test
  void earliestEndIsThatOfThePathAndNotOfAnyEndpoint() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 0, 5), relay.model("c", 5, 10));
    RelayRequestId first = relay.stream();
    relay.refusedFor(first, 1, 3_000);
    relay.refusedFor(first, 2, 2_000);
    assertThat(retryAfterMillis(first), greaterThanOrEqualTo(2_000L));
    assertThat(retryAfterMillis(relay.stream()), lessThanOrEqualTo(2_500L));
    relay.advanceMillis(2_000);
    assertThat(relay.sends(relay.stream()), hasSize(1));
  }

  // Guards against requests that wait in the queue until their wait is over.
  @Test
  void waitingRequestsAreRefusedWhenTheirWaitCannotSucceed() {
    relay.list(endpoint);
    List<RelayRequestId> all = new ArrayList<>();
    for (int request = 0; request < 12; request++) {
      all.add(relay.request("read"));
    }
    RelayRequestId waiting = all.get(11);
    assertThat(relay.sends(waiting), hasSize(0));
    relay.refusedFor(all.get(0), 1, 5_000);
    relay.advanceMillis(25);
    assertThat(retryAfterMillis(waiting), greaterThan(4_000L));
  }

  // Guards against a rush of all callers at the moment at which the time ends.
  @Test
  void requestsReturnGradually() {
    pausePlain(1_000);
    relay.advanceMillis(1_000);
    List<RelayRequestId> waiting = new ArrayList<>();
    for (int request = 0; request < 6; request++) {
      waiting.add(relay.request("read"));
    }
    assertThat(sent(waiting), is(1L));
    relay.answerReceived(waiting.get(0), 1, 200);
    relay.advanceMillis(5);
    assertThat(sent(waiting), is(3L));
    // A request without an answer does not keep the others away.
    relay.advanceMillis(130);
    assertThat(sent(waiting), is(4L));
  }

  private long sent(List<RelayRequestId> requests) {
    return requests.stream().filter(id -> !relay.sends(id).isEmpty()).count();
  }

  // Guards against a report or heartbeat that ends the time; a restart does.
  @Test
  void onlyRestartEndsThePauseEarly() {
    pausePlain(10_000);
    relay.post(new RelayEvent.ReportRead(A, new EndpointReport(0, 1, 1, List.of())));
    relay.list(endpoint.withRowVersion(RelayHarness.version(300)));
    assertThat(relay.sends(relay.request("read")), hasSize(0));
    relay.list();
    relay.list(endpoint.withRowVersion(RelayHarness.version(301)));
    assertThat("reappearance", relay.sends(relay.request("read")), hasSize(0));
    relay.list(
        new FleetEndpoint(
            A,
            endpoint.service(),
            endpoint.address(),
            endpoint.dataCentre(),
            endpoint.slots(),
            false,
            endpoint.accelerator(),
            endpoint.layers(),
            2,
            0,
            RelayHarness.version(302)));
    for (int request = 0; request < 3; request++) {
      assertThat(relay.sends(relay.request("read")), hasSize(1));
    }
  }

  // Guards against a pause that takes an endpoint with a free one beside it for the whole service.
  @Test
  void otherEndpointsServeDuringThePause() {
    relay.list(endpoint, relay.plain("b"));
    RelayRequestId refused = relay.request("read");
    relay.refusedFor(refused, 1, 5_000);
    assertThat(relay.sends(refused), hasSize(2));
    for (int request = 0; request < 4; request++) {
      EndpointId target = relay.sends(refused).get(1).options().expectedEndpoint();
      assertThat(
          relay.sends(relay.request("book")).get(0).options().expectedEndpoint(), is(target));
    }
  }
}
