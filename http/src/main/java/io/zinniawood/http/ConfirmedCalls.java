package io.zinniawood.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * Sends requests whose response bodies do not show their end. A response that ended with its
 * connection counts as complete only if the server responds to a second request, on a new
 * connection, after the end.
 */
public final class ConfirmedCalls {
  private final HttpCalls calls;
  private final HttpCalls signCalls;

  /**
   * Creates an instance.
   *
   * @param calls sends the requests
   * @param base client whose threads are used for the second requests
   * @param settings connect timeout and limits of the second requests
   */
  public ConfirmedCalls(HttpCalls calls, OkHttpClient base, HttpCallSettings settings) {
    this.calls = calls;
    this.signCalls = HttpCalls.withoutConnectionReuse(base, settings);
  }

  /**
   * Sends a request; the future always completes with a value.
   *
   * @param request request to send
   * @param sign second request, which must have no effect; a response with any status will do
   * @param timeoutMillis timeout of both requests together in milliseconds
   */
  public CompletableFuture<HttpResult> send(
      Request.Builder request, Request.Builder sign, long timeoutMillis) {
    long startNanos = System.nanoTime();
    return calls
        .send(request, timeoutMillis)
        .thenCompose(
            result -> {
              if (result instanceof HttpResult.Response response
                  && response.end() == ResponseEnd.OF_CONNECTION) {
                long usedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                return confirm(response, sign, Math.max(1, timeoutMillis - usedMillis));
              }
              return CompletableFuture.completedFuture(result);
            });
  }

  private CompletableFuture<HttpResult> confirm(
      HttpResult.Response response, Request.Builder sign, long timeoutMillis) {
    return signCalls
        .send(sign, timeoutMillis)
        .thenApply(
            result ->
                result instanceof HttpResult.Response
                    ? response
                    : new HttpResult.ResponseLost(
                        "the response has no length, and the server did not respond after its end: "
                            + result));
  }
}
