package io.zinniawood.standin.http;

import io.jooby.Context;

/** One request and its response. The response may be sent from any thread, once. */
public final class Exchange {
  private final Context context;
  private final byte[] body;
  private final DelayTimer timer;

  Exchange(Context context, byte[] body, DelayTimer timer) {
    this.context = context;
    this.body = body;
    this.timer = timer;
  }

  /** Returns the query parameter, or an empty string if it is missing. */
  public String parameter(String name) {
    return context.query(name).value("");
  }

  /** Returns the request header field, or an empty string if it is missing. */
  public String header(String name) {
    return context.header(name).value("");
  }

  /** Returns the path variable, or an empty string if it is missing. */
  public String pathVariable(String name) {
    return context.path(name).value("");
  }

  /** Returns the request body. */
  public byte[] body() {
    return body;
  }

  /** Sets a header field of the response. */
  public Exchange responseHeader(String name, String value) {
    context.setResponseHeader(name, value);
    return this;
  }

  /** Sends a response with the given content type and body. */
  public void respond(int status, String contentType, byte[] content) {
    context.setResponseCode(status);
    context.setResponseType(contentType);
    context.send(content);
    ChannelAccess.flushIfOnEventLoop(context);
  }

  /** Sends a JSON response. */
  public void respondJson(int status, Object value) {
    respond(status, "application/json", Json.bytes(value));
  }

  /** Sends a problem details response (RFC 9457). */
  public void respondProblem(int status, String detail) {
    respond(status, "application/problem+json", Json.bytes(new Problem(status, detail)));
  }

  /** Runs a task after a delay in milliseconds, at once if the delay is 0. */
  public void afterMillis(long delayMillis, Runnable task) {
    if (delayMillis <= 0) {
      task.run();
    } else {
      timer.afterMillis(delayMillis, task);
    }
  }

  /** Runs a handler; an {@link IllegalArgumentException} is answered with status 400. */
  public void handleWith(StandInServer.Handler handler) {
    try {
      handler.handle(this);
    } catch (IllegalArgumentException e) {
      respondProblem(400, String.valueOf(e.getMessage()));
    }
  }

  /** Closes the connection without a response. */
  public void closeConnection() {
    ChannelAccess.close(context);
  }

  private record Problem(int status, String detail) {}
}
