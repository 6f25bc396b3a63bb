package io.zinniawood.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays servers whose responses begin with a status line that HTTP does not know. */
final class StatusLineTest {
  private static final String REST = "\r\nContent-Length: 2\r\n\r\nok";
  private static final long TIMEOUT_MILLIS = 10_000;

  private final OkHttpClient client = new OkHttpClient();
  private final HttpCalls calls = new HttpCalls(client, new HttpCallSettings(1_000, 1024, 16));

  @AfterEach
  void stop() {
    client.dispatcher().executorService().shutdown();
  }

  private HttpResult response(String text) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpResult> result =
          calls.send(
              new Request.Builder().url("http://127.0.0.1:" + server.getLocalPort() + "/"),
              TIMEOUT_MILLIS);
      try (Socket connection = server.accept()) {
        connection.getInputStream().read();
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  // A status that HTTP does not know was taken for the answer of a server that decided something.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Unknown",
        "HTTP/1.1 000",
        "HTTP/1.1 0 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.2 200 OK"
      })
  void responseWithUnknownStatusLineIsLost(String statusLine) throws Exception {
    assertThat(response(statusLine + REST), instanceOf(HttpResult.ResponseLost.class));
  }

  // Guards against losing responses with statuses that HTTP allows without naming them.
  @ParameterizedTest
  @ValueSource(ints = {200, 299, 451, 599})
  void responseWithAnyStatusOfHttpIsReturned(int status) throws Exception {
    HttpResult result = response("HTTP/1.1 " + status + REST);
    assertThat(((HttpResult.Response) result).status(), is(status));
  }
}
