package io.zinniawood.entry.internal.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Closes a connection on which no pending write completes for a whole check interval. */
final class StalledWriteHandler extends ChannelDuplexHandler {
  /** Exceeds the TCP retransmission delay after a short network failure. */
  private static final long CHECK_INTERVAL_SECONDS = 30;

  private long pendingWrites;
  private long finishedWrites;
  private boolean checkScheduled;

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
    if (!checkScheduled) {
      checkScheduled = true;
      schedule(context);
    }
  }

  private void schedule(ChannelHandlerContext context) {
    long finishedBefore = finishedWrites;
    Future<?> unused =
        context
            .executor()
            .schedule(
                () -> check(context, finishedBefore), CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS);
  }

  private void check(ChannelHandlerContext context, long finishedBefore) {
    if (pendingWrites == 0 || !context.channel().isActive()) {
      checkScheduled = false;
    } else if (finishedWrites == finishedBefore) {
      ChannelFuture unused = context.close();
    } else {
      schedule(context);
    }
  }
}
