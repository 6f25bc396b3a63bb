package io.zinniawood.engine.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.EngineStatus;
import io.zinniawood.engine.ModelEngine;
import io.zinniawood.engine.StepOutput;
import io.zinniawood.http.ConfirmedCalls;
import io.zinniawood.http.HttpCalls;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Json;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.http.OneShotBody;
import java.net.URI;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * Client of a model engine over HTTP. Each call sends at most one request, without retries or
 * redirects. The HTTP interface is described in {@code docs/standins.md}.
 */
public final class HttpModelEngine implements ModelEngine {
  private static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");
  private static final MediaType JSON = MediaType.get("application/json");
  private static final String NEXT_POSITION_HEADER = "Next-Position";
  private final HttpUrl base;
  private final HttpEngineSettings settings;

  /** Calls whose responses name their requests, so that connections are kept. */
  private final HttpCalls runCalls;

  private final HttpCalls calls;

  /** Calls whose response bodies do not show their end. */
  private final ConfirmedCalls confirmedCalls;

  /**
   * Creates the client with default settings.
   *
   * @param baseUri base of all paths, for example {@code http://127.0.0.1:8000}
   * @param client client whose connection pool and threads are shared
   */
  public HttpModelEngine(URI baseUri, OkHttpClient client) {
    this(baseUri, client, HttpEngineSettings.defaults());
  }

  /**
   * Creates the client.
   *
   * @param baseUri base of all paths, for example {@code http://127.0.0.1:8000}
   * @param client client whose connection pool and threads are shared
   * @param settings timeouts and limits
   * @throws IllegalArgumentException if the URI is not an HTTP URI
   */
  public HttpModelEngine(URI baseUri, OkHttpClient client, HttpEngineSettings settings) {
    this.base = BaseUrl.of(baseUri);
    this.settings = Objects.requireNonNull(settings, "settings");
    this.runCalls = HttpCalls.withRequestIds(client, settings.callSettings());
    this.calls = HttpCalls.withoutConnectionReuse(client, settings.callSettings());
    this.confirmedCalls = new ConfirmedCalls(calls, client, settings.callSettings());
  }

  @Override
  public CompletableFuture<Either<EngineError, EngineStatus>> status() {
    return EngineResponses.decode(
        calls.send(statusRequest(), settings.controlTimeoutMillis()),
        HttpModelEngine::decodeStatus);
  }

  private Request.Builder statusRequest() {
    return new Request.Builder().url(url("engine/status").build()).get();
  }

  @Override
  public CompletableFuture<Either<EngineError, Vector<StepOutput>>> runSteps(
      Vector<StepRequest> steps) {
    if (steps.isEmpty()) {
      return CompletableFuture.completedFuture(Either.right(Vector.empty()));
    }
    Request.Builder request =
        new Request.Builder()
            .url(url("engine/run").build())
            .post(new OneShotBody(BatchCodec.MEDIA_TYPE, BatchCodec.encode(steps)));
    return EngineResponses.decode(
        runCalls.send(request, settings.runTimeoutMillis()),
        response -> decodeRun(steps, response));
  }

  @Override
  public CompletableFuture<Either<EngineError, Boolean>> closeSession(SessionId session) {
    Request.Builder request =
        new Request.Builder().url(sessionUrl("engine/session", session)).delete();
    return EngineResponses.decode(
        calls.send(request, settings.controlTimeoutMillis()), HttpModelEngine::decodeDone);
  }

  @Override
  public CompletableFuture<Either<EngineError, CacheExport>> exportCache(SessionId session) {
    Request.Builder request = new Request.Builder().url(sessionUrl("engine/cache", session)).get();
    return EngineResponses.decode(
        confirmedCalls.send(request, statusRequest(), settings.runTimeoutMillis()),
        HttpModelEngine::decodeExport);
  }

  @Override
  public CompletableFuture<Either<EngineError, Boolean>> importCache(
      SessionId session, CacheExport cache) {
    Request.Builder request =
        new Request.Builder()
            .url(sessionUrl("engine/cache", session))
            .header(NEXT_POSITION_HEADER, Integer.toString(cache.nextPosition()))
            .put(new OneShotBody(OCTET_STREAM, cache.cache().bytes()));
    return EngineResponses.decode(
        calls.send(request, settings.runTimeoutMillis()), HttpModelEngine::decodeDone);
  }

  @Override
  public CompletableFuture<Either<EngineError, OrderOutcome>> sendOrder(
      FencingNumber fencingNumber, EngineOrder order) {
    Request.Builder request =
        new Request.Builder()
            .url(url("engine/orders").build())
            .post(new OneShotBody(JSON, OrderCodec.encode(fencingNumber, order)));
    return EngineResponses.decode(
        calls.send(request, settings.orderTimeoutMillis()), OrderCodec::decode);
  }

  private HttpUrl.Builder url(String path) {
    return base.newBuilder().addPathSegments(path);
  }

  private HttpUrl sessionUrl(String path, SessionId session) {
    return url(path).addQueryParameter("session", session.value()).build();
  }

  static Either<EngineError, EngineStatus> decodeStatus(HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return EngineResponses.errorForStatus(response);
    }
    JsonNode root = Json.parseObject(response.body());
    JsonNode load = root.path("load");
    try {
      Capability.ModelStage capability =
          new Capability.ModelStage(
              new ModelId(Json.stringField(root, "model")),
              new LayerRange(
                  Json.intField(root, "fromLayer"), Json.intField(root, "toLayerExclusive")),
              new AcceleratorKind(Json.stringField(root, "accelerator")),
              Json.doubleField(root, "tokensPerSecond"),
              Json.intField(root, "maxSessions"));
      LoadReport report =
          new LoadReport(
              Json.intField(load, "running"),
              Json.intField(load, "queued"),
              Json.intField(load, "concurrencyLimit"),
              Json.doubleField(load, "tokensPerSecond"));
      return Either.right(new EngineStatus(capability, report));
    } catch (IllegalArgumentException e) {
      throw new MalformedResponseException("engine status is invalid: " + e.getMessage(), e);
    }
  }

  /** Decodes the outputs of a batch and checks that they match the steps in number and order. */
  static Either<EngineError, Vector<StepOutput>> decodeRun(
      Vector<StepRequest> steps, HttpResult.Response response) throws MalformedResponseException {
    if (response.status() != 200) {
      return EngineResponses.errorForStatus(response);
    }
    Vector<StepOutput> outputs = BatchCodec.decode(response.body());
    if (outputs.size() != steps.size()) {
      throw new MalformedResponseException(
          "batch response has %d outputs for %d steps".formatted(outputs.size(), steps.size()));
    }
    for (int i = 0; i < steps.size(); i++) {
      StepRequest step = steps.get(i);
      StepOutput output = outputs.get(i);
      if (!output.session().equals(step.session()) || output.position() != step.position()) {
        throw new MalformedResponseException(
            "output %d has session %s and position %d, expected session %s and position %d"
                .formatted(
                    i, output.session(), output.position(), step.session(), step.position()));
      }
    }
    return Either.right(outputs);
  }

  static Either<EngineError, CacheExport> decodeExport(HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return EngineResponses.errorForStatus(response);
    }
    String text = response.headers().get(NEXT_POSITION_HEADER);
    try {
      int nextPosition = Integer.parseInt(text == null ? "" : text);
      if (nextPosition >= 0) {
        return Either.right(new CacheExport(nextPosition, Payload.wrap(response.body())));
      }
    } catch (NumberFormatException e) {
      throw new MalformedResponseException(
          "header " + NEXT_POSITION_HEADER + " is missing or not an integer: " + text, e);
    }
    throw new MalformedResponseException(
        "header " + NEXT_POSITION_HEADER + " is negative: " + text);
  }

  static Either<EngineError, Boolean> decodeDone(HttpResult.Response response)
      throws MalformedResponseException {
    return response.status() == 200
        ? Either.right(Json.booleanField(Json.parseObject(response.body()), "done"))
        : EngineResponses.errorForStatus(response);
  }
}
