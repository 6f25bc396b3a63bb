package io.zinniawood.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays servers whose response bodies do not end. */
final class EndlessResponseTest {
  private static final int MEMORY_BYTES = 1024 * 1024;
  private static final int KEPT_BYTES = 600_000;
  private static final long TIMEOUT_MILLIS = 20_000;
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final OkHttpClient client = new OkHttpClient();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final List<Socket> connections = new ArrayList<>();

  @AfterEach
  void stop() throws IOException {
    for (ServerSocket server : servers) {
      server.close();
    }
    client.dispatcher().cancelAll();
    client.dispatcher().executorService().shutdown();
  }

  private Request.Builder server(String head, int bodyBytes) throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    servers.add(server);
    Thread thread =
        new Thread(
            () -> {
              try {
                Socket connection = server.accept();
                connections.add(connection);
                OutputStream out = connection.getOutputStream();
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(new byte[bodyBytes]);
                out.flush();
              } catch (IOException closed) {
                // The client or the test closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new Request.Builder().url("http://127.0.0.1:" + server.getLocalPort() + "/");
  }

  // Guards against responses that are bounded each but not together: a process ran out of heap.
  @Test
  void endlessBodiesTogetherAreCutOffAndShortOnesAreRead() throws Exception {
    HttpCallSettings settings = new HttpCallSettings(1_000, 64 * 1024 * 1024, 16);
    HttpCalls calls = new HttpCalls(client, settings, new ResponseMemory(MEMORY_BYTES));
    CompletableFuture<HttpResult> firstCut = new CompletableFuture<>();
    for (int count = 0; count < 8; count++) {
      calls
          .send(
              server(CHUNKED + Integer.toHexString(KEPT_BYTES) + "\r\n", KEPT_BYTES),
              TIMEOUT_MILLIS)
          .thenAccept(firstCut::complete);
    }
    assertThat(
        firstCut.get(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
        instanceOf(HttpResult.ResponseLost.class));
    assertThat(
        calls
            .send(server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 2), TIMEOUT_MILLIS)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
        instanceOf(HttpResult.Response.class));
  }
}
