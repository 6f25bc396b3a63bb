package io.zinniawood.entry.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CallerBoundsTest {
  private static final class Ignored implements CallerReply {
    @Override
    public void token(String text) {}

    @Override
    public void finish(FinishReason reason, int tokens) {}

    @Override
    public void service(ServiceAnswer answer) {}

    @Override
    public void problem(Problem problem) {}
  }

  // Guards against open requests without bound, and against a cancel of a request that ended.
  @Test
  void openRequestsAreBoundedAndAbandonedOnce() {
    List<RequestId> abandoned = new ArrayList<>();
    OpenRequests requests = new OpenRequests(2, abandoned::add);
    RequestId first = new RequestId("1");
    RequestId second = new RequestId("2");
    assertThat(requests.add(first, new Ignored()), equalTo(true));
    assertThat(requests.add(second, new Ignored()), equalTo(true));
    assertThat(requests.add(new RequestId("3"), new Ignored()), equalTo(false));
    requests.remove(first);
    requests.abandon(first);
    requests.abandon(second);
    requests.abandon(second);
    assertThat(abandoned, contains(second));
    assertThat(requests.count(), equalTo(0));
  }

  // Guards against many slow callers that fill the heap, each below its own bound.
  @Test
  void waitingBytesAreBoundedOverAllStreams() {
    WaitingBytes bytes = new WaitingBytes();
    long streams = WaitingBytes.MAX_TOTAL_BYTES / WaitingBytes.MAX_STREAM_BYTES;
    for (int index = 0; index < streams; index++) {
      assertThat(bytes.open().add(WaitingBytes.MAX_STREAM_BYTES), equalTo(true));
    }
    assertThat(bytes.open().add(WaitingBytes.MAX_STREAM_BYTES), equalTo(false));
    assertThat(bytes.open().add(1_000), equalTo(true));
    assertThat(bytes.total(), equalTo(WaitingBytes.MAX_TOTAL_BYTES + 1_000));
  }

  // Guards against a connection that is kept for ever by a caller that takes no bytes.
  @Test
  void stalledConnectionsAreClosed() {
    Deque<ChannelPromise> pending = new ArrayDeque<>();
    EmbeddedChannel channel =
        new EmbeddedChannel(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void write(
                  ChannelHandlerContext context, Object message, ChannelPromise done) {
                pending.add(done);
              }
            },
            new StalledWrites());
    channel.freezeTime();
    for (int write = 0; write < 3; write++) {
      channel.write("bytes").isDone();
    }
    pending.remove().setSuccess();
    advance(channel, 30);
    pending.remove().setSuccess();
    advance(channel, 30);
    assertThat(channel.isActive(), equalTo(true));
    advance(channel, 30);
    assertThat(channel.isActive(), equalTo(false));
  }

  private static void advance(EmbeddedChannel channel, long seconds) {
    channel.advanceTimeBy(seconds, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }
}
