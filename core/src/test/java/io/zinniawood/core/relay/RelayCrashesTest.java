package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a relay learns from endpoints that crash as they begin to answer. */
final class RelayCrashesTest {
  private static final int ENDPOINTS = 12;

  private final RelayHarness relay = new RelayHarness();

  @BeforeEach
  void listEndpoints() {
    List<FleetEndpoint> endpoints = new ArrayList<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      endpoints.add(relay.model("e" + number, 0, RelayHarness.LAYERS));
    }
    relay.list(endpoints.toArray(FleetEndpoint[]::new));
  }

  /** Ends the endpoint of the request's last send, as its engine does when it begins to write. */
  private void crashEndpointOf(RelayRequestId id) {
    List<RelayEffect.Send> sends = relay.sends(id);
    RelayEffect.Send last = sends.get(sends.size() - 1);
    EndpointId endpoint = last.options().expectedEndpoint();
    relay.advanceMillis(100);
    relay.answerReceived(id, last.attempt(), 200);
    relay.attemptFailed(id, last.attempt(), AttemptFailureCause.CONNECTION_LOST);
    relay.post(new RelayEvent.ReportMissing(endpoint));
  }

  private void answerSoundStream(String... parts) {
    RelayRequestId id = relay.stream(parts);
    relay.answerReceived(id, 1, 200);
    relay.advanceMillis(50);
    relay.streamAdvanced(id, 1);
    relay.post(new RelayEvent.AnswerRelayed(id, 1));
  }

  // Guards against requests with one prompt part crashing endpoint after endpoint.
  @Test
  void partUnderWhichEndpointsCrashedIsNotSentToFurtherEndpoints() {
    for (int crash = 0; crash < 5; crash++) {
      RelayRequestId id = relay.stream("opening-" + crash, "deadly");
      if (!relay.sends(id).isEmpty()) {
        crashEndpointOf(id);
      }
      relay.advanceMillis(400);
      answerSoundStream("opening-" + crash);
    }
    RelayRequestId next = relay.stream("opening-1", "deadly");
    assertThat(relay.sends(next), hasSize(0));
    assertThat(relay.localAnswer(next).orElseThrow().status(), is(503));
  }

  // Guards against refusing sound requests that share their beginning with such a request.
  @Test
  void soundRequestsWithTheSameFirstPartAreStillSent() {
    for (int crash = 0; crash < 5; crash++) {
      RelayRequestId id = relay.stream("opening", "deadly");
      if (!relay.sends(id).isEmpty()) {
        crashEndpointOf(id);
      }
      relay.advanceMillis(400);
      answerSoundStream("opening");
    }
    assertThat(relay.sends(relay.stream("opening", "other")), hasSize(1));
  }
}
