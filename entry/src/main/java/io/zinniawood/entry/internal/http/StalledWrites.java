package io.zinniawood.entry.internal.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Closes a connection whose caller has not taken any written bytes for a while. */
final class StalledWrites extends ChannelDuplexHandler {
  /** Longer than any retransmission after a short network failure. */
  private static final long CHECK_SECONDS = 30;

  private long pendingWrites;
  private long finishedWrites;
  private boolean checking;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    pendingWrites++;
    ChannelPromise written = promise.unvoid();
    ChannelPromise unused =
        written.addListener(
            done -> {
              pendingWrites--;
              finishedWrites++;
            });
    ChannelFuture unusedResult = context.write(message, written);
    if (!checking) {
      checking = true;
      schedule(context);
    }
  }

  private void schedule(ChannelHandlerContext context) {
    long finishedBefore = finishedWrites;
    Future<?> unused =
        context
            .executor()
            .schedule(() -> check(context, finishedBefore), CHECK_SECONDS, TimeUnit.SECONDS);
  }

  private void check(ChannelHandlerContext context, long finishedBefore) {
    if (pendingWrites == 0 || !context.channel().isActive()) {
      checking = false;
    } else if (finishedWrites == finishedBefore) {
      ChannelFuture unused = context.close();
    } else {
      schedule(context);
    }
  }
}
