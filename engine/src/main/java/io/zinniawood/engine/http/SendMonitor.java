package io.zinniawood.engine.http;

import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether a call began to send its request; attached to the request as a tag. */
final class SendMonitor extends EventListener {
  private volatile boolean sending;

  /** Returns the monitor of the call, or a listener that does nothing. */
  static EventListener of(Call call) {
    SendMonitor monitor = call.request().tag(SendMonitor.class);
    return monitor == null ? EventListener.NONE : monitor;
  }

  boolean sending() {
    return sending;
  }

  @Override
  public void requestHeadersStart(Call call) {
    sending = true;
  }
}
