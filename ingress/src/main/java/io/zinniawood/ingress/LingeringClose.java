package io.zinniawood.ingress;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Close of a connection whose caller may still be sending. */
public final class LingeringClose {
  /** Time for which input is discarded after an answer, so that the caller can read it. */
  private static final long DISCARD_MILLIS = 1_000;

  private LingeringClose() {}

  /**
   * Ends the output and closes the connection after 1 s, in which its handlers must discard input.
   * A close with unread input would reset the connection and may take the answer from the caller.
   */
  public static void begin(ChannelHandlerContext context) {
    if (context.channel() instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
    }
    Future<?> unused =
        context.executor().schedule(() -> context.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
  }
}
