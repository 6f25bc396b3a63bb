package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Ends one request: updates the open requests and the state of the caller's connection. */
final class RequestLifecycle {
  private static final Logger LOGGER = System.getLogger(RequestLifecycle.class.getName());

  private final RequestId request;
  private final OpenRequests openRequests;
  private final Option<CallerChannel> channel;

  RequestLifecycle(RequestId request, OpenRequests openRequests, Option<CallerChannel> channel) {
    this.request = request;
    this.openRequests = openRequests;
    this.channel = channel;
  }

  RequestId request() {
    return request;
  }

  /**
   * Ends the request with its last write, which runs on the I/O thread of the connection. If that
   * fails, the caller is told so, or its connection is closed if a part of the response is sent.
   */
  void end(Context context, Runnable lastWrite) {
    openRequests.beginFinalWrite();
    // Later effects must skip the request.
    openRequests.remove(request);
    if (channel.isEmpty()) {
      write(context, lastWrite);
      openRequests.endFinalWrite();
    } else if (!channel.get().execute(() -> writeAndMarkIdle(context, lastWrite, channel.get()))) {
      openRequests.endFinalWrite();
    }
  }

  private void writeAndMarkIdle(Context context, Runnable lastWrite, CallerChannel caller) {
    try {
      write(context, lastWrite);
    } finally {
      caller.markIdle();
      caller.onWritten(openRequests::endFinalWrite);
    }
  }

  private void write(Context context, Runnable lastWrite) {
    try {
      lastWrite.run();
    } catch (RuntimeException | Error failure) {
      LOGGER.log(Level.ERROR, "response to request %s failed".formatted(request), failure);
      sendFailure(context);
    }
  }

  private void sendFailure(Context context) {
    try {
      if (!context.isResponseStarted()) {
        context.removeResponseHeaders();
        ProblemDocument.send(context, CallerReply.UNWRITABLE, request);
        return;
      }
    } catch (RuntimeException | Error failure) {
      LOGGER.log(Level.ERROR, "refusal of request %s failed".formatted(request), failure);
    }
    channel.forEach(CallerChannel::close);
  }

  /** Cancels the request and closes the connection of the caller. */
  void cancel() {
    openRequests.abandon(request);
    channel.forEach(CallerChannel::close);
  }
}
