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

class CallerLimitsTest {
  private static final class NoOpReply implements CallerReply {
    @Override
    public void addToken(String text) {}

    @Override
    public void finish(FinishReason reason, int tokens) {}

    @Override
    public void sendServiceAnswer(ServiceAnswer answer) {}

    @Override
    public void sendProblem(Problem problem) {}
  }

  // Guards against an unlimited number of open requests, and against the cancellation of a request
  // that has already ended.
  @Test
  void openRequestsAreLimitedAndAbandonedOnce() {
    List<RequestId> abandoned = new ArrayList<>();
    OpenRequests requests = new OpenRequests(2, abandoned::add);
    RequestId first = new RequestId("1");
    RequestId second = new RequestId("2");
    assertThat(requests.add(first, new NoOpReply()), equalTo(true));
    assertThat(requests.add(second, new NoOpReply()), equalTo(true));
    assertThat(requests.add(new RequestId("3"), new NoOpReply()), equalTo(false));
    requests.remove(first);
    requests.abandon(first);
    requests.abandon(second);
    requests.abandon(second);
    assertThat(abandoned, contains(second));
    assertThat(requests.count(), equalTo(0));
  }

  // Guards against many slow callers that exhaust the heap although each is below its own limit.
  @Test
  void unsentBytesAreLimitedOverAllStreams() {
    UnsentBytes bytes = new UnsentBytes();
    long streams = UnsentBytes.MAX_TOTAL_BYTES / UnsentBytes.MAX_STREAM_BYTES;
    for (int index = 0; index < streams; index++) {
      assertThat(bytes.openStream().tryAdd(UnsentBytes.MAX_STREAM_BYTES), equalTo(true));
    }
    assertThat(bytes.openStream().tryAdd(UnsentBytes.MAX_STREAM_BYTES), equalTo(false));
    assertThat(bytes.openStream().tryAdd(1_000), equalTo(true));
    assertThat(bytes.totalBytes(), equalTo(UnsentBytes.MAX_TOTAL_BYTES + 1_000));
  }

  // Guards against a caller that keeps its connection open indefinitely without reading.
  @Test
  void connectionsWithStalledWritesAreClosed() {
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
            new StalledWriteHandler());
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
