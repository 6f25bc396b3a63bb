package io.zinniawood.store.http;

import io.zinniawood.http.HttpCalls;
import io.zinniawood.http.HttpResult;
import io.zinniawood.store.http.CircuitBreaker.Permit;
import java.util.concurrent.CompletableFuture;
import okhttp3.Request;

/** Calls to one service of the platform behind its circuit. */
final class PlatformServiceCalls {
  private final HttpCalls calls;
  private final long timeoutMillis;
  private final CircuitBreaker circuitBreaker;
  private final String service;

  PlatformServiceCalls(
      HttpCalls calls, long timeoutMillis, CircuitBreaker circuit, String service) {
    this.calls = calls;
    this.timeoutMillis = timeoutMillis;
    this.circuitBreaker = circuit;
    this.service = service;
  }

  CompletableFuture<HttpResult> send(Request.Builder request) {
    Permit permit = circuitBreaker.acquire(System.nanoTime());
    if (permit == Permit.REFUSED) {
      return CompletableFuture.completedFuture(
          new HttpResult.NotSent("the " + service + " failed before and is not called for now"));
    }
    return calls
        .send(request, timeoutMillis)
        .thenApply(
            result -> {
              recordResult(permit, result);
              return result;
            });
  }

  /** A response over the rate limit (429) or with a client error shows that the service works. */
  private void recordResult(Permit permit, HttpResult result) {
    boolean answered = result instanceof HttpResult.Response response && response.status() < 500;
    if (answered) {
      circuitBreaker.recordSuccess();
    } else {
      circuitBreaker.recordFailure(permit, System.nanoTime());
    }
  }
}
