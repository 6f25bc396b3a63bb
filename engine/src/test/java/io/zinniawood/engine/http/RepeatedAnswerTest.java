package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.standin.http.RepeatingServer;
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

  /** Answers each request with its path. */
  private static String answer(RepeatingServer.Head request) {
    return "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(request.target().length(), request.target());
  }

  // The repeated answer to one call became the answer to the next one.
  @Test
  void repeatedAnswerIsNotTheAnswerToTheNextCall() throws Exception {
    try (RepeatingServer server = RepeatingServer.launch(RepeatedAnswerTest::answer)) {
      HttpPlainServiceClient service = new HttpPlainServiceClient(server.uri(), client);
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
