package io.zinniawood.store.http;

import io.zinniawood.http.ConfirmedCalls;
import io.zinniawood.http.HttpCalls;
import io.zinniawood.http.HttpResult;
import io.zinniawood.store.http.CircuitBreaker.Permit;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import okhttp3.Request;

/** Sends calls to one service of the platform through its circuit breaker. */
final class PlatformServiceCalls {
  private final HttpCalls calls;
  private final ConfirmedCalls confirmedCalls;
  private final long timeoutMillis;
  private final CircuitBreaker circuitBreaker;
  private final NewestStoreEra era;
  private final String service;

  PlatformServiceCalls(
      HttpCalls calls,
      ConfirmedCalls confirmedCalls,
      long timeoutMillis,
      CircuitBreaker circuitBreaker,
      NewestStoreEra era,
      String service) {
    this.calls = calls;
    this.confirmedCalls = confirmedCalls;
    this.timeoutMillis = timeoutMillis;
    this.circuitBreaker = circuitBreaker;
    this.era = era;
    this.service = service;
  }

  CompletableFuture<HttpResult> send(Request.Builder request) {
    return send(() -> calls.send(request, timeoutMillis));
  }

  /**
   * Sends a request whose response body does not show its end.
   *
   * @param sign request without an effect, see {@link ConfirmedCalls}
   */
  CompletableFuture<HttpResult> sendConfirmed(Request.Builder request, Request.Builder sign) {
    return send(() -> confirmedCalls.send(request, sign, timeoutMillis));
  }

  private CompletableFuture<HttpResult> send(Supplier<CompletableFuture<HttpResult>> call) {
    Permit permit = circuitBreaker.acquire(System.nanoTime());
    if (permit == Permit.REFUSED) {
      return CompletableFuture.completedFuture(
          new HttpResult.NotSent(
              "circuit breaker of the " + service + " is open after repeated failures"));
    }
    return call.get()
        .thenApply(
            result -> {
              recordResult(permit, result);
              if (result instanceof HttpResult.Response response) {
                era.observe(response);
              }
              return result;
            });
  }

  /** Counts any response below 500 as a success, including 429, since the service responded. */
  private void recordResult(Permit permit, HttpResult result) {
    boolean responded = result instanceof HttpResult.Response response && response.status() < 500;
    if (responded) {
      circuitBreaker.recordSuccess();
    } else {
      circuitBreaker.recordFailure(permit, System.nanoTime());
    }
  }
}
