package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine.CacheExport;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Plays an endpoint that ends a response with its connection, as the system of a killed one. */
final class KilledEndpointTest {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final long SHORT_TIMEOUT_MILLIS = 1_000;
  private static final String WITHOUT_LENGTH =
      "HTTP/1.1 200 OK\r\nNext-Position: 3\r\n\r\nhalf or whole";

  private final OkHttpClient client = new OkHttpClient();
  private ServerSocket server;

  /** What becomes of the endpoint before its response ends. */
  private interface Fate {
    void happen() throws IOException;
  }

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout((int) TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private URI uri() {
    return URI.create("http://127.0.0.1:" + server.getLocalPort());
  }

  private CompletableFuture<Either<EngineError, ServiceAnswer>> call(
      String method, long timeoutMillis) {
    return new HttpPlainServiceClient(uri(), client)
        .call(
            new ServiceCall(method, "/bins", Vector.empty(), Payload.wrap(new byte[0])),
            timeoutMillis);
  }

  private static <T> Either<EngineError, T> await(CompletableFuture<Either<EngineError, T>> future)
      throws Exception {
    return future.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Reads a request without a body, writes the response, and ends the connection in order. */
  private void respond(String response, Fate fate) throws IOException {
    try (Socket connection = server.accept()) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      while (!reader.readLine().isEmpty()) {
        // Leaves no bytes unread, so that the close sends no reset.
      }
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      fate.happen();
    }
  }

  // Half of an answer was a complete one for the caller.
  @Test
  void answerWithoutLengthOfKilledServiceIsLost() throws Exception {
    var result = call("GET", TIMEOUT_MILLIS);
    respond(WITHOUT_LENGTH, server::close);
    assertThat(await(result).getLeft(), instanceOf(EngineError.ResponseLost.class));
  }

  // A service that accepts connections without answering passed for one that had sent everything.
  @Test
  void answerWithoutLengthOfSilentServiceIsLostAtTheDeadline() throws Exception {
    var result = call("GET", SHORT_TIMEOUT_MILLIS);
    respond(WITHOUT_LENGTH, () -> {});
    assertThat(await(result).getLeft(), instanceOf(EngineError.ResponseLost.class));
  }

  // A kept cache that lacks its end would become the state of a session.
  @Test
  void cacheWithoutLengthOfKilledEngineIsLost() throws Exception {
    CompletableFuture<Either<EngineError, CacheExport>> result =
        new HttpModelEngine(uri(), client).exportCache(new SessionId("s"));
    respond(WITHOUT_LENGTH, server::close);
    assertThat(await(result).getLeft(), instanceOf(EngineError.ResponseLost.class));
  }

  // Services that write no lengths must stay usable, even while they report that they are full.
  @Test
  void answerWithoutLengthOfLiveServiceIsWhole() throws Exception {
    var result = call("GET", TIMEOUT_MILLIS);
    respond(WITHOUT_LENGTH, () -> {});
    respond("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", () -> {});
    assertThat(await(result).get().body().text(), is("half or whole"));
  }

  // The cache of an engine that writes no lengths must stay usable.
  @Test
  void cacheWithoutLengthOfLiveEngineIsWhole() throws Exception {
    CompletableFuture<Either<EngineError, CacheExport>> result =
        new HttpModelEngine(uri(), client).exportCache(new SessionId("s"));
    respond(WITHOUT_LENGTH, () -> {});
    respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", () -> {});
    assertThat(await(result).get().cache().text(), is("half or whole"));
  }

  // A service may leave right after a response that has a length, its last chunk or no body.
  @Test
  void responseThatShowsItsEndIsWholeThoughTheServiceLeaves() throws Exception {
    for (String response :
        new String[] {
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
          "HTTP/1.1 204 Done\r\n\r\n"
        }) {
      var result = call("GET", TIMEOUT_MILLIS);
      respond(response, server::close);
      assertThat(response, await(result).isRight(), is(true));
      listen();
    }
    var result = call("HEAD", TIMEOUT_MILLIS);
    respond("HTTP/1.1 200 OK\r\n\r\n", server::close);
    assertThat(await(result).isRight(), is(true));
  }
}
