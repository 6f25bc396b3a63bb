package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceCall;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays a service that writes its answer a second time. */
final class RepeatedAnswerTest {
  private static final long TIMEOUT_MILLIS = 5_000;

  private final OkHttpClient client = new OkHttpClient();

  @AfterEach
  void stop() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static void serve(ServerSocket server) {
    try {
      while (true) {
        Socket connection = server.accept();
        Thread thread = new Thread(() -> answerTwice(connection));
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException stopped) {
      // The test closed the server.
    }
  }

  /** Answers each request on a connection with its path, and writes each answer twice. */
  private static void answerTwice(Socket connection) {
    try (connection) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.startsWith("GET ")) {
          String path = line.split(" ")[1];
          String answer =
              "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s".formatted(path.length(), path);
          connection.getOutputStream().write((answer + answer).getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException closed) {
      // The client closed the connection.
    }
  }

  // The repeated answer to one call became the answer to the next one.
  @Test
  void repeatedAnswerIsNotTheAnswerToTheNextCall() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread serving = new Thread(() -> serve(server));
      serving.setDaemon(true);
      serving.start();
      HttpPlainServiceClient service =
          new HttpPlainServiceClient(
              URI.create("http://127.0.0.1:" + server.getLocalPort()), client);
      for (String path : new String[] {"/first", "/second", "/third"}) {
        ServiceCall call = new ServiceCall("GET", path, Vector.empty(), Payload.wrap(new byte[0]));
        assertThat(
            service
                .call(call, TIMEOUT_MILLIS)
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .get()
                .body()
                .text(),
            is(path));
      }
    }
  }
}
