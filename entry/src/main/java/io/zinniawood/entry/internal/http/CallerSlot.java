package io.zinniawood.entry.internal.http;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;

/** Place of one request among the open requests and on its caller's connection. */
final class CallerSlot {
  private final RequestId request;
  private final OpenRequests openRequests;
  private final Option<CallerChannel> channel;

  CallerSlot(RequestId request, OpenRequests openRequests, Option<CallerChannel> channel) {
    this.request = request;
    this.openRequests = openRequests;
    this.channel = channel;
  }

  RequestId request() {
    return request;
  }

  /** Removes the request, so that later effects find none; call before the last write. */
  void end() {
    openRequests.beginWriting();
    openRequests.remove(request);
  }

  /** Allows the next request on the connection; call after the last write. */
  void release() {
    channel.forEach(CallerChannel::release);
    if (channel.isDefined()) {
      channel.get().onWritten(openRequests::endWriting);
    } else {
      openRequests.endWriting();
    }
  }

  /** Cancels the request and closes the connection. */
  void cancel() {
    openRequests.abandon(request);
    channel.forEach(CallerChannel::close);
  }
}
