package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.ingress.AdminConnections;
import io.zinniawood.ingress.AdminInputLimit;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class AdminInputLimitTest {
  private static final String GET = "GET /metrics HTTP/1.1\r\nHost: host\r\n\r\n";

  private final AdminConnections connections = new AdminConnections();

  private EmbeddedChannel connection() {
    EmbeddedChannel channel =
        new EmbeddedChannel(
            new AdminInputLimit(),
            AdminInputLimit.codec(),
            new AdminHandler(() -> true, () -> "m", (event, subject, failure) -> {}));
    connections.opened(channel);
    return channel;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  // Guards against input without a complete request, and against a limit on answered requests.
  @Test
  void connectionWithoutRequestClosesAndOneWithManyRequestsDoesNot() {
    EmbeddedChannel endless = connection();
    EmbeddedChannel answered = connection();
    for (int count = 0; count < 1_000; count++) {
      if (endless.isOpen()) {
        receive(endless, "\r\n".repeat(100));
      }
      receive(answered, GET);
    }
    assertThat(endless.isOpen(), is(false));
    assertThat(answered.isOpen(), is(true));
  }

  // Guards against metrics that are rendered for each of thousands of pipelined requests.
  @Test
  void metricsAreRenderedAtMostFourTimesPerSecond() {
    long[] nowNanos = {0};
    int[] rendered = {0};
    RecentText text = new RecentText(() -> "m" + ++rendered[0], () -> nowNanos[0]);
    assertThat(text.get() + text.get(), is("m1m1"));
    nowNanos[0] += 250_000_000L;
    assertThat(text.get(), is("m2"));
  }

  // Guards against connections that shut out the balancer's probe, or use up the descriptors.
  @Test
  void oldestConnectionGivesWay() {
    List<EmbeddedChannel> opened = new ArrayList<>();
    for (int count = 0; count < 65; count++) {
      opened.add(connection());
    }
    assertThat(opened.get(0).isOpen(), is(false));
    assertThat(opened.stream().filter(EmbeddedChannel::isOpen).count(), is(64L));
  }
}
