package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.engine.EngineError;
import io.zinniawood.standin.http.StandInServer;
import io.zinniawood.standin.service.ServiceFaults;
import io.zinniawood.standin.service.ServiceSettings;
import io.zinniawood.standin.service.ServiceStandIn;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpPlainServiceClientTest {
  private final OkHttpClient client = new OkHttpClient();
  private final ServiceStandIn standIn = ServiceStandIn.launch(ServiceSettings.unlimited());
  private final HttpPlainServiceClient service = service("");

  @AfterEach
  void stop() {
    standIn.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private HttpPlainServiceClient service(String path) {
    return new HttpPlainServiceClient(
        URI.create("http://127.0.0.1:" + standIn.port() + path), client);
  }

  private static ServiceCall credit(String reference) {
    return new ServiceCall(
        "POST",
        "/credits",
        Vector.of(
            new HttpHeader("Content-Type", "application/json"), new HttpHeader("Host", "other")),
        Payload.ofText("{\"reference\":\"" + reference + "\"}"));
  }

  private static ServiceCall get(String path) {
    return new ServiceCall("GET", path, Vector.empty(), Payload.empty());
  }

  private static <T> Either<EngineError, T> await(CompletableFuture<Either<EngineError, T>> future)
      throws Exception {
    return future.get(20, TimeUnit.SECONDS);
  }

  private static <T> EngineError error(CompletableFuture<Either<EngineError, T>> future)
      throws Exception {
    return await(future).swap().getOrElseThrow(() -> new AssertionError("no error"));
  }

  // Guards against reporting a status of the service as a transport error.
  @Test
  void anyStatusIsAnAnswer() throws Exception {
    ServiceAnswer booked = await(service.call(credit("r-1"), 5_000)).get();
    assertThat(booked.status(), is(201));
    assertThat(booked.body().text(), containsString("\"entry\":1"));
    assertThat(await(service.call(get("/bins/7"), 5_000)).get().status(), is(200));
    assertThat(await(service.call(get("/nowhere"), 5_000)).get().status(), is(404));
    standIn.setFaults(ServiceFaults.outage());
    assertThat(await(service.call(credit("r-2"), 5_000)).get().status(), is(503));
    assertThat(await(service.checkHealth()), equalTo(Either.right(false)));
    assertThat(standIn.bookings("r-2"), is(0));
  }

  // Guards against a limit that the agent never sees.
  @Test
  void limitOfTheServiceIsPartOfTheAnswer() throws Exception {
    standIn.setFaults(ServiceFaults.limit(2.5));
    ServiceAnswer answer = await(service.call(get("/bins/7"), 5_000)).get();
    assertThat(
        answer
            .headers()
            .find(header -> header.name().equalsIgnoreCase("Request-Limit"))
            .get()
            .value(),
        is("2.5"));
  }

  // Guards against a credit that is posted twice after a lost response.
  @Test
  void lostResponsesAreReportedAndNotRepeated() throws Exception {
    standIn.setFaults(ServiceFaults.lostResponses(1));
    assertThat(
        error(service.call(credit("r-1"), 5_000)), instanceOf(EngineError.ResponseLost.class));
    assertThat(standIn.bookings("r-1"), is(1));
    standIn.setFaults(ServiceFaults.delay(5_000));
    assertThat(error(service.call(credit("r-2"), 300)), instanceOf(EngineError.ResponseLost.class));
    assertThat(standIn.bookings("r-2"), is(1));
  }

  // Guards against reporting an unknown outcome for a call that was certainly not sent.
  @Test
  void refusedConnectionsAndInvalidCallsAreNotSent() throws Exception {
    assertThat(error(service.call(get("no-slash"), 5_000)), instanceOf(EngineError.NotSent.class));
    assertThat(
        error(service("/inner/").call(get("/../ledger"), 5_000)),
        instanceOf(EngineError.NotSent.class));
    assertThat(error(service.call(get("/ledger"), 0)), instanceOf(EngineError.NotSent.class));
    standIn.close();
    assertThat(error(service.call(credit("r-1"), 5_000)), instanceOf(EngineError.NotSent.class));
  }

  // Guards against requests that OkHttp repeats by itself, after a redirect or after a 503 with
  // Retry-After: 0.
  @Test
  void statusesThatSuggestRetriesAreNotRetried() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    try (StandInServer server = new StandInServer("inviting")) {
      for (String method : List.of("GET", "POST")) {
        server.route(
            method,
            "/{status}",
            exchange -> {
              calls.incrementAndGet();
              exchange
                  .responseHeader("Retry-After", "0")
                  .responseHeader("Location", "/200")
                  .respondProblem(Integer.parseInt(exchange.pathVariable("status")), "again");
            });
      }
      URI uri = URI.create("http://127.0.0.1:" + server.start(0));
      HttpPlainServiceClient retryStatusClient = new HttpPlainServiceClient(uri, client);
      for (String status : List.of("503", "302", "307", "308", "408", "421", "401")) {
        for (String method : List.of("GET", "POST")) {
          ServiceCall call = new ServiceCall(method, "/" + status, Vector.empty(), Payload.empty());
          calls.set(0);
          assertThat(
              await(retryStatusClient.call(call, 5_000)).get().status(),
              is(Integer.parseInt(status)));
          assertThat(method + " " + status, calls.get(), is(1));
        }
      }
    }
  }

  // Guards against a refusal that becomes a call with an unknown outcome, as OkHttp parses the
  // header as an int, or one that tells the caller another time.
  @Test
  void retryAfterOfRefusalIsPassedOnUnchanged() throws Exception {
    List<String> values = List.of("99999999999", "0", "000", "1.5", "soon");
    AtomicInteger calls = new AtomicInteger();
    try (StandInServer server = new StandInServer("refusing")) {
      server.route(
          "GET",
          "/{index}",
          exchange -> {
            calls.incrementAndGet();
            exchange
                .responseHeader(
                    "Retry-After", values.get(Integer.parseInt(exchange.pathVariable("index"))))
                .respondProblem(503, "full");
          });
      URI uri = URI.create("http://127.0.0.1:" + server.start(0));
      HttpPlainServiceClient refusing = new HttpPlainServiceClient(uri, client);
      for (int index = 0; index < values.size(); index++) {
        calls.set(0);
        ServiceAnswer response = await(refusing.call(get("/" + index), 5_000)).get();
        assertThat(response.status(), is(503));
        assertThat(
            response.headers().toString().toLowerCase(Locale.ROOT),
            containsString("retry-after, value=" + values.get(index) + "]"));
        assertThat(calls.get(), is(1));
      }
    }
  }
}
