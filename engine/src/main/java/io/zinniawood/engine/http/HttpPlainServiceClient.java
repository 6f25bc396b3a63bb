package io.zinniawood.engine.http;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.PlainServiceClient;
import io.zinniawood.http.ConfirmedCalls;
import io.zinniawood.http.HttpCalls;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.OneShotBody;
import java.net.URI;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * Client of a plain service over HTTP. Each call sends at most one request, without retries or
 * redirects, on a connection of its own. An answer without a length counts as complete only if the
 * service responds to a health check after its end.
 */
public final class HttpPlainServiceClient implements PlainServiceClient {
  /**
   * Header fields that are not forwarded, as they apply to a single connection (RFC 9110, section
   * 7.6.1) or to message framing.
   */
  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "content-length",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** Methods for which OkHttp requires a body. */
  private static final Set<String> BODY_METHODS = Set.of("POST", "PUT", "PATCH");

  private final HttpUrl base;
  private final String healthPath;
  private final HttpEngineSettings settings;
  private final HttpCalls calls;
  private final ConfirmedCalls confirmedCalls;

  /**
   * Creates the client with default settings and the health path {@code /health}.
   *
   * @param baseUri base of all paths, for example {@code http://127.0.0.1:9000}
   * @param client client whose threads are shared
   */
  public HttpPlainServiceClient(URI baseUri, OkHttpClient client) {
    this(baseUri, "/health", client, HttpEngineSettings.defaults());
  }

  /**
   * Creates the client.
   *
   * @param baseUri base of all paths, for example {@code http://127.0.0.1:9000}
   * @param healthPath path of the health check; a 2xx status means healthy
   * @param client client whose threads are shared
   * @param settings timeouts and limits
   * @throws IllegalArgumentException if the URI is not an HTTP URI
   */
  public HttpPlainServiceClient(
      URI baseUri, String healthPath, OkHttpClient client, HttpEngineSettings settings) {
    this.base = BaseUrl.of(baseUri);
    this.healthPath = Objects.requireNonNull(healthPath, "healthPath");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.calls = HttpCalls.withoutConnectionReuse(client, settings.callSettings());
    this.confirmedCalls = new ConfirmedCalls(calls, client, settings.callSettings());
  }

  @Override
  public CompletableFuture<Either<EngineError, ServiceAnswer>> call(
      ServiceCall call, long timeoutMillis) {
    Request.Builder request;
    try {
      request = request(call);
    } catch (IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Either.left(new EngineError.NotSent("service call is invalid: " + e.getMessage())));
    }
    if (timeoutMillis < 1) {
      return CompletableFuture.completedFuture(
          Either.left(new EngineError.NotSent("timeout expired before the service call was sent")));
    }
    return EngineResponses.decode(
        confirmedCalls.send(request, healthRequest(), timeoutMillis),
        response -> Either.right(answer(response)));
  }

  @Override
  public CompletableFuture<Either<EngineError, Boolean>> checkHealth() {
    return EngineResponses.decode(
        calls.send(healthRequest(), settings.controlTimeoutMillis()),
        response -> Either.right(response.status() >= 200 && response.status() < 300));
  }

  private Request.Builder healthRequest() {
    return new Request.Builder().url(url(healthPath)).get();
  }

  private Request.Builder request(ServiceCall call) {
    Request.Builder request = new Request.Builder().url(url(call.pathAndQuery()));
    MediaType type = null;
    boolean acceptEncoding = false;
    for (HttpHeader header : call.headers()) {
      String name = header.name().toLowerCase(Locale.ROOT);
      if (name.equals("content-type")) {
        type = MediaType.parse(header.value());
      }
      acceptEncoding |= name.equals("accept-encoding");
      if (!CONNECTION_HEADERS.contains(name)) {
        request.addHeader(header.name(), header.value());
      }
    }
    if (!acceptEncoding) {
      // Otherwise OkHttp requests gzip and removes header fields from the decompressed response.
      request.addHeader("Accept-Encoding", "identity");
    }
    boolean hasBody = call.body().sizeBytes() > 0 || BODY_METHODS.contains(call.method());
    return request.method(
        call.method(), hasBody ? new OneShotBody(type, call.body().bytes()) : null);
  }

  private HttpUrl url(String pathAndQuery) {
    if (!pathAndQuery.startsWith("/")) {
      throw new IllegalArgumentException("service path must start with \"/\": " + pathAndQuery);
    }
    String prefix = base.toString().replaceAll("/+$", "");
    HttpUrl url = HttpUrl.get(prefix + pathAndQuery);
    String basePath = base.encodedPath().replaceAll("/+$", "");
    if (!url.encodedPath().startsWith(basePath + "/")) {
      throw new IllegalArgumentException(
          "path is outside the base path of the service: " + pathAndQuery);
    }
    return url;
  }

  private static ServiceAnswer answer(HttpResult.Response response) {
    Vector<HttpHeader> headers = Vector.empty();
    for (int i = 0; i < response.headers().size(); i++) {
      String name = response.headers().name(i);
      if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
        headers = headers.append(new HttpHeader(name, response.headers().value(i)));
      }
    }
    return new ServiceAnswer(response.status(), headers, Payload.wrap(response.body()));
  }
}
