package io.zinniawood.http;

import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.frame.ForeignHeadScanner;
import io.zinniawood.core.frame.StatusLine;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ProtocolException;
import java.net.Proxy;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSource;

/** Sends each request at most once and reports whether it may have reached the server. */
public final class HttpCalls {
  private static final String RETRY_AFTER = "Retry-After";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final OkHttpClient client;
  private final int maxConcurrentCalls;
  private final int maxResponseBytes;
  private final ResponseMemory memory;
  private final AtomicInteger callsInProgress = new AtomicInteger();

  /**
   * Creates an instance with its own limit of concurrent calls.
   *
   * @param base client whose connection pool and threads are shared
   * @param settings connect timeout and limits
   */
  public HttpCalls(OkHttpClient base, HttpCallSettings settings) {
    this(base, settings, ResponseMemory.ofProcess());
  }

  /**
   * Creates an instance that gives each request an id in {@code Request-Id}. Connections are kept
   * only for servers that repeat the id in their responses, and a response to another request
   * counts as lost.
   *
   * @param base client whose connection pool and threads are shared
   * @param settings connect timeout and limits
   */
  public static HttpCalls withRequestIds(OkHttpClient base, HttpCallSettings settings) {
    return new HttpCalls(
        base.newBuilder().addNetworkInterceptor(new ResponseIdCheck()).build(), settings);
  }

  /**
   * Creates an instance that sends each request on a connection of its own. A server may write a
   * response a second time; on a connection that is used again, OkHttp would take the repetition
   * for the response to the next request.
   *
   * @param base client whose threads are shared
   * @param settings connect timeout and limits
   */
  public static HttpCalls withoutConnectionReuse(OkHttpClient base, HttpCallSettings settings) {
    ConnectionPool noIdleConnections = new ConnectionPool(0, 1, TimeUnit.SECONDS);
    return new HttpCalls(base.newBuilder().connectionPool(noIdleConnections).build(), settings);
  }

  /** Creates an instance as above whose responses share the given memory. */
  HttpCalls(OkHttpClient base, HttpCallSettings settings, ResponseMemory memory) {
    Dispatcher dispatcher = new Dispatcher(base.dispatcher().executorService());
    dispatcher.setMaxRequests(settings.maxConcurrentCalls());
    dispatcher.setMaxRequestsPerHost(settings.maxConcurrentCalls());
    this.client =
        base.newBuilder()
            .dispatcher(dispatcher)
            .proxy(Proxy.NO_PROXY)
            .socketFactory(new NoDelaySocketFactory())
            .cache(null)
            .protocols(List.of(Protocol.HTTP_1_1))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
            // The timeout that is set for each call also limits its reads and writes.
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .eventListenerFactory(call -> new SendFailureListener())
            .addInterceptor(HttpCalls::restoreRetryAfter)
            .addNetworkInterceptor(HttpCalls::sendOnce)
            .build();
    this.maxConcurrentCalls = settings.maxConcurrentCalls();
    this.memory = memory;
    this.maxResponseBytes = settings.maxResponseBytes();
  }

  /**
   * Sends a request; the future always completes with a value.
   *
   * @param builder request to send; a tag is added to it
   * @param timeoutMillis timeout of the whole call in milliseconds
   */
  public CompletableFuture<HttpResult> send(Request.Builder builder, long timeoutMillis) {
    SendMonitor monitor = new SendMonitor();
    Request request = builder.tag(SendMonitor.class, monitor).build();
    CompletableFuture<HttpResult> future = new CompletableFuture<>();
    try {
      Call call = client.newCall(request);
      call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
      int concurrentCalls = callsInProgress.incrementAndGet();
      call.enqueue(new ResponseCallback(future, monitor));
      if (concurrentCalls > maxConcurrentCalls) {
        limitQueueTime(call, monitor, future, timeoutMillis);
      }
    } catch (RejectedExecutionException e) {
      callsInProgress.decrementAndGet();
      future.complete(new HttpResult.NotSent("the HTTP client has been shut down"));
    }
    return future;
  }

  /**
   * Interceptor that runs after the connection is established and before the first byte is sent. It
   * rejects a request that was already sent. OkHttp repeats a request after a 503 with {@code
   * Retry-After: 0} even if retries are disabled, and fails if the number is no int, so the header
   * is hidden from it.
   */
  private static Response sendOnce(Interceptor.Chain chain) throws IOException {
    SendMonitor monitor = chain.request().tag(SendMonitor.class);
    if (monitor == null || !monitor.startSending()) {
      throw new IOException("the request was cancelled in the queue or has already been sent");
    }
    Response response = chain.proceed(chain.request());
    if (!StatusLine.isFinal(response.code())) {
      response.close();
      throw new ProtocolException("unknown status: " + response.code());
    }
    monitor.setResponseEnd(endOf(response));
    monitor.hideRetryAfter(response.headers(RETRY_AFTER));
    return response.newBuilder().removeHeader(RETRY_AFTER).build();
  }

  /** Interceptor that runs outside of OkHttp's retries and adds the hidden header again. */
  private static Response restoreRetryAfter(Interceptor.Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    SendMonitor monitor = chain.request().tag(SendMonitor.class);
    if (monitor == null) {
      return response;
    }
    Response.Builder restored = response.newBuilder();
    monitor.hiddenRetryAfter().forEach(value -> restored.addHeader(RETRY_AFTER, value));
    return restored.build();
  }

  /**
   * Limits the time that a call spends in the queue of OkHttp, whose call timeout starts only when
   * the call leaves the queue.
   */
  private static void limitQueueTime(
      Call call, SendMonitor monitor, CompletableFuture<HttpResult> future, long timeoutMillis) {
    CompletableFuture.delayedExecutor(timeoutMillis, TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              if (monitor.abandon()) {
                call.cancel();
                future.complete(
                    new HttpResult.NotSent(
                        "too many HTTP calls in progress; request was queued for %d ms"
                            .formatted(timeoutMillis)));
              }
            });
  }

  /** Returns how OkHttp finds the end of a response; must be given the fields that were sent. */
  private static ResponseEnd endOf(Response response) {
    boolean mayHaveBody =
        !response.request().method().equals("HEAD")
            && response.code() != NO_CONTENT
            && response.code() != NOT_MODIFIED;
    boolean stated =
        "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))
            || (response.body() != null && response.body().contentLength() != -1);
    return mayHaveBody && !stated ? ResponseEnd.OF_CONNECTION : ResponseEnd.STATED;
  }

  /** Records a failed write, which OkHttp does not report if it finds a response. */
  private static final class SendFailureListener extends EventListener {
    @Override
    public void requestFailed(Call call, IOException failure) {
      SendMonitor monitor = call.request().tag(SendMonitor.class);
      if (monitor != null) {
        monitor.markSendFailed();
      }
    }
  }

  private final class ResponseCallback implements Callback {
    private final CompletableFuture<HttpResult> future;
    private final SendMonitor monitor;

    ResponseCallback(CompletableFuture<HttpResult> future, SendMonitor monitor) {
      this.future = future;
      this.monitor = monitor;
    }

    @Override
    public void onFailure(Call call, IOException failure) {
      callsInProgress.decrementAndGet();
      if (failure instanceof InterruptedIOException || monitor.connectionNotReusable()) {
        // Idle connections may be as unfit as this one, so later calls open new ones.
        client.connectionPool().evictAll();
      }
      String detail = call.request().url().redact() + ": " + failure;
      future.complete(
          monitor.sendStarted()
              ? new HttpResult.ResponseLost(detail)
              : new HttpResult.NotSent(detail));
    }

    @Override
    public void onResponse(Call call, Response response) {
      HttpResult result;
      try (ResponseBody body = response.body()) {
        result = read(response, body);
      } catch (IOException | RuntimeException e) {
        // An unchecked exception that leaves this method would leave the future incomplete.
        if (e instanceof InterruptedIOException) {
          client.connectionPool().evictAll();
        }
        result = new HttpResult.ResponseLost(call.request().url().redact() + ": " + e);
      }
      if (monitor.connectionNotReusable()) {
        client.connectionPool().evictAll();
      }
      callsInProgress.decrementAndGet();
      future.complete(result);
    }

    private HttpResult read(Response response, ResponseBody body) throws IOException {
      BufferedSource source = body.source();
      long reservedBytes = 0;
      try {
        long wantedBytes;
        do {
          if (!memory.tryReserveStep(reservedBytes)) {
            return new HttpResult.ResponseLost("there is no memory for the response body");
          }
          reservedBytes += ResponseMemory.STEP_BYTES;
          wantedBytes = Math.min(reservedBytes, maxResponseBytes + 1L);
          if (wantedBytes > maxResponseBytes && source.request(wantedBytes)) {
            return new HttpResult.ResponseLost(
                "the response body has more than " + maxResponseBytes + " bytes");
          }
        } while (source.request(wantedBytes));
        // After a failed write, OkHttp reads the failure of the connection as its end.
        if (monitor.sendFailed() && monitor.responseEnd() == ResponseEnd.OF_CONNECTION) {
          return new HttpResult.ResponseLost(
              "the connection failed within a response without a length");
        }
        byte[] bytes = source.readByteArray();
        if (ForeignHeadScanner.scan(
                index -> bytes[index], bytes.length, monitor.connectionRequestIds())
            == ForeignHead.PRESENT) {
          return new HttpResult.ResponseLost(
              "the response body holds the head of another response");
        }
        return new HttpResult.Response(
            response.code(), response.headers(), bytes, monitor.responseEnd());
      } finally {
        memory.release(reservedBytes);
      }
    }
  }
}
