package io.zinniawood.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays a server that is killed before it has read a request to which it is responding. */
final class CutResponseTest {
  private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;
  private static final long TIMEOUT_MILLIS = 10_000;

  private final OkHttpClient client = new OkHttpClient();
  private final HttpCalls calls = new HttpCalls(client, new HttpCallSettings(1_000, 1024, 16));

  @AfterEach
  void stop() {
    client.dispatcher().executorService().shutdown();
  }

  private HttpResult responseToCutRequest(String response) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpResult> result =
          calls.send(
              new Request.Builder()
                  .url("http://127.0.0.1:" + server.getLocalPort() + "/")
                  .post(new OneShotBody(null, new byte[LONG_BODY_BYTES])),
              TIMEOUT_MILLIS);
      try (Socket connection = server.accept()) {
        connection.getInputStream().read();
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
      return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  // The first half of a response without a length was a complete answer for the caller.
  @Test
  void responseWithoutLengthIsLostIfTheRequestCouldNotBeSent() throws Exception {
    assertThat(
        responseToCutRequest("HTTP/1.1 200 OK\r\n\r\nhalf"),
        instanceOf(HttpResult.ResponseLost.class));
  }

  // Fields from which OkHttp reads no length passed for a length.
  @Test
  void responseWhoseFieldsStateNoLengthIsLostIfTheRequestCouldNotBeSent() throws Exception {
    for (String field : List.of("Content-Length: x", "Transfer-Encoding: identity")) {
      assertThat(
          field,
          responseToCutRequest("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nhalf"),
          instanceOf(HttpResult.ResponseLost.class));
    }
  }

  // A server may refuse a long request before it has read it; its length shows that this is all.
  @Test
  void responseWithLengthIsWholeThoughTheRequestCouldNotBeSent() throws Exception {
    assertThat(
        responseToCutRequest("HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"),
        instanceOf(HttpResult.Response.class));
  }
}
