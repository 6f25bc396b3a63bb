package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests path selection across data centres. The link between them has 1,000 Mbit/s and carries 17
 * prompts a second.
 */
final class RelayPathsTest {
  private static final double TOKENS = 700;

  private final RelayHarness relay = new RelayHarness();

  private RelayRequestId stream() {
    return relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
  }

  // Sending more than the link carries builds up a backlog that delays every later stream on it.
  @Test
  void transfersStayWithinLinkBandwidth() {
    relay.list(relay.model("a", 0, 5), relay.remoteModel("b", 5, 10));
    for (int interval = 0; interval < 50; interval++) {
      for (int count = 0; count < 5; count++) {
        RelayRequestId id = stream();
        if (!relay.sends(id).isEmpty()) {
          relay.answerReceived(id, 1, 200);
          relay.post(new RelayEvent.AnswerRelayed(id, 1, RelayHarness.EVIDENCE));
        }
      }
      relay.advanceMillis(100);
    }
    int sent = relay.effectsOf(RelayEffect.Send.class).size();
    double carriedInFiveSeconds = 5_000 / RelayHarness.engine().linkTransferMillis(TOKENS);
    // Up to three transfers may still be queued when the load ends.
    assertThat((double) sent, lessThanOrEqualTo(carriedInFiveSeconds + 3));
    assertThat((double) sent, greaterThan(0.8 * carriedInFiveSeconds));
  }

  // A path that lies entirely in another data centre uses no link bandwidth between its endpoints.
  @Test
  void pathsWithinOneDataCentreArePreferred() {
    relay.list(relay.model("a", 0, 5), relay.remoteModel("b", 0, 5), relay.remoteModel("c", 5, 10));
    for (int count = 0; count < 10; count++) {
      LayerPath path = relay.sends(stream()).get(0).options().path().orElseThrow();
      assertThat(
          path.parts().stream().map(part -> part.endpoint().value()).toList(),
          is(List.of("b", "c")));
    }
  }

  // An endpoint that restarts is listed with its old layers until its first heartbeat. Each request
  // that is sent through it meanwhile is refused, and its repeats use up the retry budget.
  @Test
  void endpointWithoutItsLayersIsNotUsedUntilListedAnew() {
    FleetEndpoint restarted = relay.model("b", 5, 10);
    relay.list(relay.model("a", 0, 5), restarted, relay.model("c", 5, 10));
    for (int count = 0; count < 20; count++) {
      RelayRequestId id = stream();
      if (path(id, 0).contains(restarted.id())) {
        relay.misdirected(id, 1, restarted.address());
      }
      relay.advanceMillis(100);
    }
    RelayRequestId later = stream();
    assertThat(misdirectedSends(restarted.id()), is(1L));
    assertThat(path(later, 0).contains(restarted.id()), is(false));
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10));
    assertThat(path(stream(), 0).contains(restarted.id()), is(true));
  }

  // A restarted endpoint has another id at the same address. Both are listed until the old entry
  // lapses, and the endpoint at fault is the one that the path names.
  @ParameterizedTest
  @ValueSource(strings = {"p", "q", "x", "y"})
  void entryOfEndpointBeforeItsRestartIsRefuted(String idAfterRestart) {
    FleetEndpoint before = relay.model("b", 5, 10);
    FleetEndpoint empty = relay.empty(idAfterRestart);
    FleetEndpoint after =
        new FleetEndpoint(
            empty.id(),
            empty.service(),
            before.address(),
            empty.dataCentre(),
            empty.slots(),
            empty.draining(),
            empty.accelerator(),
            empty.layers(),
            2,
            0,
            empty.rowVersion());
    relay.list(relay.model("a", 0, 5), before, after, relay.model("c", 5, 10));
    for (int count = 0; count < 20; count++) {
      RelayRequestId id = stream();
      if (path(id, 0).contains(before.id())) {
        relay.misdirected(id, 1, before.address());
      }
      relay.advanceMillis(100);
    }
    assertThat(misdirectedSends(before.id()), is(1L));
  }

  private long misdirectedSends(EndpointId endpoint) {
    return relay.effectsOf(RelayEffect.Send.class).stream()
        .filter(send -> send.options().path().orElseThrow().contains(endpoint))
        .count();
  }

  private LayerPath path(RelayRequestId id, int send) {
    return relay.sends(id).get(send).options().path().orElseThrow();
  }
}
