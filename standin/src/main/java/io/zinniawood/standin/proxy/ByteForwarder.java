package io.zinniawood.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Forwards the bytes of one direction in order, after the delay that is set when they are read. All
 * methods run on the event loop that both channels share.
 */
final class ByteForwarder extends ChannelInboundHandlerAdapter {
  /** Pending bytes above which reading pauses, so that a long delay does not exhaust memory. */
  private static final long MAX_PENDING_BYTES = 4 << 20;

  private final Channel source;
  private final Channel destination;
  private final LongSupplier delayMillis;
  private final Deque<DelayedTask> waiting = new ArrayDeque<>();
  private long pendingBytes;
  private boolean stopped;

  ByteForwarder(Channel source, Channel destination, LongSupplier delayMillis) {
    this.source = source;
    this.destination = destination;
    this.delayMillis = delayMillis;
  }

  /**
   * Permanently stops this direction. The source is no longer read, so the sender's buffer fills
   * up, and neither data nor a close reaches the destination.
   */
  void stopForwarding() {
    stopped = true;
    source.config().setAutoRead(false);
  }

  /** Resets the source and stops this direction, so that the destination stays open. */
  void resetSource() {
    stopForwarding();
    reset(source);
  }

  static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      ChannelFuture unused = channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (stopped || !destination.isActive()) {
      ReferenceCountUtil.release(message);
      return;
    }
    int bytes = ((ByteBuf) message).readableBytes();
    pendingBytes += bytes;
    updateAutoRead();
    afterDelay(
        () -> {
          if (stopped) {
            ReferenceCountUtil.release(message);
          } else {
            ChannelFuture unused =
                destination.writeAndFlush(message).addListener(done -> onWritten(bytes));
          }
        });
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    afterDelay(
        () -> {
          if (!stopped) {
            ChannelFuture unused = destination.close();
          }
        });
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // Either end may reset its connection. The close reaches the other side by channelInactive,
    // unless this direction is stopped.
    ChannelFuture unused = context.close();
  }

  private void onWritten(int bytes) {
    pendingBytes -= bytes;
    updateAutoRead();
  }

  private void updateAutoRead() {
    source.config().setAutoRead(!stopped && pendingBytes < MAX_PENDING_BYTES);
  }

  private record DelayedTask(Runnable task, long dueNanos) {}

  /**
   * Runs the task after the delay, but never before a task that was submitted earlier. The queue is
   * needed because the event loop does not keep the order of scheduled tasks with nearly equal
   * deadlines.
   */
  private void afterDelay(Runnable task) {
    long nowNanos = System.nanoTime();
    long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis.getAsLong());
    if (waiting.isEmpty() && dueNanos - nowNanos <= 0) {
      task.run();
      return;
    }
    waiting.addLast(new DelayedTask(task, dueNanos));
    if (waiting.size() == 1) {
      scheduleNext(nowNanos);
    }
  }

  private void scheduleNext(long nowNanos) {
    long delayNanos = Math.max(0, waiting.getFirst().dueNanos() - nowNanos);
    Future<?> unused = source.eventLoop().schedule(this::runDue, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void runDue() {
    long nowNanos = System.nanoTime();
    while (!waiting.isEmpty() && waiting.getFirst().dueNanos() - nowNanos <= 0) {
      Runnable task = waiting.getFirst().task();
      task.run();
      waiting.removeFirst();
    }
    if (!waiting.isEmpty()) {
      scheduleNext(nowNanos);
    }
  }
}
