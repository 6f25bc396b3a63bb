package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.standin.http.RepeatingServer;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.TableRow;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays a store that writes its answer a second time. */
final class RepeatedStoreAnswerTest {
  private final OkHttpClient client = new OkHttpClient();

  @AfterEach
  void stop() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static String answer(RepeatingServer.Head request, String fields) {
    String key = request.target().split("=", -1)[1];
    return "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(fields, key.length(), key);
  }

  private static String value(HttpPlatform platform, String key) throws Exception {
    return platform.table().read(key).get(5, TimeUnit.SECONDS).get().get().value().text();
  }

  // The repeated answer to the read of one row became the value of another row.
  @Test
  void repeatedAnswerIsNotTheValueOfAnotherRow() throws Exception {
    try (RepeatingServer server = RepeatingServer.launch(request -> answer(request, ""))) {
      HttpPlatform platform = new HttpPlatform(server.uri(), client);
      for (String key : new String[] {"first", "second", "third"}) {
        assertThat(value(platform, key), is(key));
      }
    }
  }

  // A value that was cut within its length, and filled by the repeated answer, was believed.
  @Test
  void valueFilledByTheRepeatedAnswerIsLost() throws Exception {
    try (RepeatingServer server =
        RepeatingServer.launch(request -> answerFilledByItself(request.headers()))) {
      HttpPlatform platform = new HttpPlatform(server.uri(), client);
      Either<PlatformError, Option<TableRow>> filled =
          platform.table().read("first").get(5, TimeUnit.SECONDS);
      assertThat(filled.getLeft(), instanceOf(PlatformError.ResponseLost.class));
    }
  }

  // A head that the head of the repeated answer had completed passed for the head of a value.
  @Test
  void headThatAnotherHeadCompletesIsNoValue() throws Exception {
    for (String cut : List.of("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Cut: a")) {
      try (RepeatingServer server =
          RepeatingServer.launch(
              request ->
                  cut
                      + answer(
                          request,
                          "Request-Id: "
                              + request.headers().getOrDefault("request-id", "none")
                              + "\r\n"))) {
        Either<PlatformError, Option<TableRow>> completed =
            new HttpPlatform(server.uri(), client).table().read("first").get(5, TimeUnit.SECONDS);
        assertThat(completed.getLeft(), instanceOf(PlatformError.ResponseLost.class));
      }
    }
  }

  private static String answerFilledByItself(Map<String, String> headers) {
    String value = "cut";
    String answer =
        "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nRequest-Id: %s\r\nContent-Length: 000\r\n\r\n%s"
            .formatted(headers.getOrDefault("request-id", "none"), value);
    return answer.replace("000", "%03d".formatted(value.length() + answer.length()));
  }

  // The store names its requests, so that its connections are kept.
  @Test
  void answerThatNamesAnotherRequestIsNoValue() throws Exception {
    try (RepeatingServer server =
        RepeatingServer.launch(
            request ->
                answer(
                    request,
                    "Request-Id: " + request.headers().getOrDefault("request-id", "") + "\r\n"))) {
      HttpPlatform platform = new HttpPlatform(server.uri(), client);
      assertThat(value(platform, "first"), is("first"));
      Either<PlatformError, Option<TableRow>> repeated =
          platform.table().read("second").get(5, TimeUnit.SECONDS);
      assertThat(repeated.getLeft(), instanceOf(PlatformError.ResponseLost.class));
      for (String key : new String[] {"third", "fourth", "fifth"}) {
        assertThat(value(platform, key), is(key));
      }
    }
  }
}
