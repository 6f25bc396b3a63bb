package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

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
import org.junit.jupiter.api.Test;

/** Plays a store that writes its answer a second time. */
final class RepeatedStoreAnswerTest {
  private static void answerTwice(Socket connection) {
    try (connection) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.startsWith("GET ")) {
          String key = line.split("[ =]")[2];
          String answer =
              "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: %d\r\n\r\n%s"
                  .formatted(key.length(), key);
          connection.getOutputStream().write((answer + answer).getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException closed) {
      // The client closed the connection.
    }
  }

  // The repeated answer to the read of one row became the value of another row.
  @Test
  void repeatedAnswerIsNotTheValueOfAnotherRow() throws Exception {
    OkHttpClient client = new OkHttpClient();
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread serving =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket connection = server.accept();
                    new Thread(() -> answerTwice(connection)).start();
                  }
                } catch (IOException stopped) {
                  // The test closed the server.
                }
              });
      serving.setDaemon(true);
      serving.start();
      HttpPlatform platform =
          new HttpPlatform(URI.create("http://127.0.0.1:" + server.getLocalPort()), client);
      for (String key : new String[] {"first", "second", "third"}) {
        assertThat(
            platform.table().read(key).get(5, TimeUnit.SECONDS).get().get().value().text(),
            is(key));
      }
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }
}
