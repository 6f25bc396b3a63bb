package io.zinniawood.entry.internal.http;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;

/** Ends one request: updates the open requests and the state of the caller's connection. */
final class RequestLifecycle {
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

  /** Removes the request so that later effects skip it; call before the last write. */
  void beginFinalWrite() {
    openRequests.beginFinalWrite();
    openRequests.remove(request);
  }

  /** Allows the next request on the connection; call after the last write. */
  void endFinalWrite() {
    channel.forEach(CallerChannel::markIdle);
    if (channel.isDefined()) {
      channel.get().onWritten(openRequests::endFinalWrite);
    } else {
      openRequests.endFinalWrite();
    }
  }

  /** Cancels the request and closes the connection of the caller. */
  void cancel() {
    openRequests.abandon(request);
    channel.forEach(CallerChannel::close);
  }
}
