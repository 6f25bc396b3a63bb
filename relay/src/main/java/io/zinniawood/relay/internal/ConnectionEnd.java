package io.zinniawood.relay.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records how a client connection ended. A message without a length ends with its connection (RFC
 * 9112, section 8), and the decoder reports the same end of message after a failed read, a failed
 * write and a close by this side. Only an end that the peer made in order completes such a message.
 *
 * <p>Must be the first handler of a channel with {@code ALLOW_HALF_CLOSURE}, so that the end of the
 * peer's output is an event of its own. Closes the channel after the other handlers have seen it.
 */
public final class ConnectionEnd extends ChannelDuplexHandler {
  private State state = State.OPEN;
  private int unsentMessages;

  /** State of a connection as far as it matters to a message that has just ended. */
  public enum State {
    /** Open in both directions: the framing of the message has told its end. */
    OPEN,
    /** The peer ended its output after this side had sent everything. */
    ENDED_BY_PEER,
    /** Closed by this side or by a failure, or ended by the peer before all was sent to it. */
    LOST
  }

  /** Returns how the connection ended, or that it is open. */
  public State state() {
    return state;
  }

  /** Returns the state of a channel that has this handler. */
  public static State of(Channel channel) {
    return channel.pipeline().get(ConnectionEnd.class).state();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    unsentMessages++;
    ChannelPromise observed = promise.unvoid();
    observed.addListener(
        done -> {
          unsentMessages--;
          if (!done.isSuccess()) {
            lose();
          }
        });
    context.write(message, observed);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      context.fireUserEventTriggered(event);
      return;
    }
    if (state == State.OPEN) {
      // A peer that has not read the whole request has failed within it.
      state = unsentMessages == 0 ? State.ENDED_BY_PEER : State.LOST;
    }
    context.fireUserEventTriggered(event);
    context.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    state = State.LOST;
    context.fireExceptionCaught(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    lose();
    context.fireChannelInactive();
  }

  private void lose() {
    if (state == State.OPEN) {
      state = State.LOST;
    }
  }
}
