package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.EndpointId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RelayStreamsTest {
  private final RelayHarness relay = new RelayHarness();

  private List<RelayId> startStreams(int count) {
    List<RelayId> ids = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      RelayId id = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
      relay.answered(id, 1, 200);
      ids.add(id);
    }
    return ids;
  }

  private void advanceAll(List<RelayId> ids, int rounds) {
    for (int round = 0; round < rounds; round++) {
      relay.passMillis(20);
      ids.forEach(id -> relay.advance(id, 1));
    }
  }

  private boolean uses(RelayId id, String endpoint) {
    return relay.sends(id).get(0).terms().path().orElseThrow().contains(new EndpointId(endpoint));
  }

  // A dead part stalls its streams for seconds; they must go on along another path well before.
  @Test
  void streamsAreLedAroundTheSilentPartThatTheyShare() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10), relay.model("c", 5, 10));
    List<RelayId> ids = startStreams(12);
    advanceAll(ids, 5);
    List<RelayId> dead = ids.stream().filter(id -> uses(id, "b")).toList();
    List<RelayId> alive = ids.stream().filter(id -> uses(id, "c")).toList();
    for (int round = 0; round < 10; round++) {
      relay.passMillis(20);
      alive.forEach(id -> relay.advance(id, 1));
    }
    List<RelayEffect.Repath> repaths = relay.all(RelayEffect.Repath.class);
    assertThat(repaths, hasSize(dead.size()));
    for (RelayEffect.Repath repath : repaths) {
      assertThat(repath.path().contains(new EndpointId("b")), is(false));
    }
  }

  // Streams that advance must be left alone.
  @Test
  void advancingStreamsKeepTheirPath() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10), relay.model("c", 5, 10));
    List<RelayId> ids = startStreams(12);
    advanceAll(ids, 50);
    assertThat(relay.all(RelayEffect.Repath.class), empty());
  }

  // The caller of a broken stream gets the rest of it, from the event after the last one it has.
  @Test
  void brokenStreamIsResumedAfterItsLastEvent() {
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10));
    RelayId id = startStreams(1).get(0);
    relay.post(new RelayEvent.AttemptBroken(id, 1, BreakCause.CONNECTION_LOST, 17));
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.sends(id).get(1).terms().resumeAfter(), is(17L));
    assertThat(
        relay.sends(id).get(1).terms().expectedEndpoint(),
        org.hamcrest.Matchers.not(relay.sends(id).get(0).terms().expectedEndpoint()));
  }

  // A stream that cannot be resumed must not look complete.
  @Test
  void streamThatBreaksTooOftenIsAborted() {
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10), relay.model("c", 0, 10));
    RelayId id = startStreams(1).get(0);
    relay.post(new RelayEvent.AttemptBroken(id, 1, BreakCause.CONNECTION_LOST, 3));
    relay.post(new RelayEvent.AttemptBroken(id, 2, BreakCause.CONNECTION_LOST, 3));
    assertThat(relay.all(RelayEffect.AbortAnswer.class), hasSize(1));
    assertThat(relay.ownAnswer(id), is(Optional.empty()));
  }
}
