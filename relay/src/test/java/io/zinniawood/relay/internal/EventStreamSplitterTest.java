package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class EventStreamSplitterTest {
  private static final long SEED = 20_261_204;

  private final EventStreamSplitter splitter = new EventStreamSplitter(0);
  private final StringBuilder relayed = new StringBuilder();
  private boolean valid;

  private void split(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    valid =
        splitter.split(
            bytes,
            List.of("17"),
            event -> {
              relayed.append(event.toString(StandardCharsets.UTF_8));
              event.release();
            });
    bytes.release();
  }

  // A stream cut within an event was ended by the head of its repeated response, as an event.
  @Test
  void eventThatAnotherHeadCompletesIsNotRelayed() {
    split("id: 1\ndata: a\n\nid: 2\ndata: HTTP/1.1 200 OK\n\n");
    assertThat(valid, is(true));
    split("id: 3\ndata: bHTTP/1.1 200 OK\r\nAttempt-Id: 17\r\nContent-Length: 2\r\n\r\nok");
    assertThat(valid, is(false));
    assertThat(relayed.toString(), is("id: 1\ndata: a\n\nid: 2\ndata: HTTP/1.1 200 OK\n\n"));
  }

  // Part of an event must not reach the caller, as the endpoint may fail before the event ends.
  @Test
  void buffersPartialEventUntilItsEnd() {
    split("id: 1\ndata: a\n\nid: 2\nda");
    assertThat(relayed.toString(), is("id: 1\ndata: a\n\n"));
    assertThat(splitter.mayEndHere(), is(false));
    split("ta: b\n\n");
    assertThat(relayed.toString(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assertThat(splitter.mayEndHere(), is(true));
  }

  // A resumed stream may repeat events; each event must reach the caller once.
  @Test
  void dropsEventsAlreadyRelayed() {
    split("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    splitter.endResponse();
    split("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assertThat(relayed.toString(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
    assertThat(splitter.lastId(), is(3L));
  }

  // A part of a stream counted as whole when the endpoint that resumed it failed early.
  @Test
  void responseThatIsBehindTheCallerIsNoEnd() {
    split("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    splitter.endResponse();
    assertThat(splitter.mayEndHere(), is(false));
    split("id: 1\ndata: a\n\n");
    assertThat(splitter.mayEndHere(), is(false));
    split("id: 2\ndata: b\n\n");
    assertThat(splitter.mayEndHere(), is(true));
  }

  // A comment before the failure of an endpoint made a part of a stream count as whole.
  @Test
  void blockWithoutIdIsNoEnd() {
    split("id: 1\ndata: a\n\n");
    splitter.endResponse();
    split(": ping\n\nretry: 1000\n\n");
    assertThat(splitter.mayEndHere(), is(false));
  }

  @Test
  void streamMayStartWithIdZero() {
    split("id: 0\ndata: a\n\n");
    assertThat(relayed.toString(), is("id: 0\ndata: a\n\n"));
    assertThat(splitter.mayEndHere(), is(true));
  }

  @Test
  void commentBeforeTheFirstEventGoesWithIt() {
    split(": start\n\n");
    assertThat(relayed.toString(), is(""));
    split("id: 1\nda");
    split("ta: a\n\n: later\n\n");
    assertThat(relayed.toString(), is(": start\n\nid: 1\ndata: a\n\n: later\n\n"));
    assertThat(splitter.mayEndHere(), is(true));
  }

  // A repetition behind a failed stream without chunks passed for one of its events.
  @Test
  void answerBehindTheLastEventIsNoEvent() {
    split("id: 1\ndata: a\n\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assertThat(relayed.toString(), is("id: 1\ndata: a\n\n"));
    assertThat(splitter.mayEndHere(), is(false));
  }

  // Guards against bytes lost or changed when an event is split across network reads.
  @Test
  void relaysSameBytesForAnyFragmentation() {
    StringBuilder all = new StringBuilder();
    for (int id = 1; id <= 200; id++) {
      all.append(": x\r\nid:").append(id).append("\r\ndata: line ").append(id).append("\r\n\r\n");
    }
    Random random = new Random(SEED);
    int from = 0;
    while (from < all.length()) {
      int to = Math.min(all.length(), from + 1 + random.nextInt(40));
      split(all.substring(from, to));
      from = to;
    }
    assertThat("seed " + SEED, relayed.toString(), is(all.toString()));
    assertThat(splitter.lastId(), is(200L));
  }
}
