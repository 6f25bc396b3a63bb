package io.zinniawood.standin.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import org.junit.jupiter.api.Test;

class RestoreTest {
  private final HttpClient http = HttpClient.newHttpClient();

  private static String shown(HttpResponse<String> response) {
    return "%d era %s version %s %s"
        .formatted(
            response.statusCode(),
            response.headers().firstValue("Store-Era").orElse("none"),
            response.headers().firstValue("ETag").orElse("none"),
            response.statusCode() == 503 ? "" : response.body());
  }

  private String send(PlatformStandIn platform, String path, HttpRequest.Builder request)
      throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + platform.port() + path);
    return shown(http.send(request.uri(uri).build(), BodyHandlers.ofString()));
  }

  private String read(PlatformStandIn platform, String path) throws Exception {
    return send(platform, path, HttpRequest.newBuilder().GET());
  }

  private String write(PlatformStandIn platform, String expected, String value) throws Exception {
    HttpRequest.Builder request = HttpRequest.newBuilder().PUT(BodyPublishers.ofString(value));
    return send(
        platform,
        "/table/row?key=k",
        expected.equals("*")
            ? request.header("If-None-Match", "*")
            : request.header("If-Match", expected));
  }

  // Guards against tests of a restored store that lose nothing or never repeat a version.
  @Test
  void restoredStoreHasLostWritesAndGivesTheirVersionsOutAgain() throws Exception {
    try (PlatformStandIn platform = PlatformStandIn.launch(PlatformSettings.unlimited())) {
      assertThat(write(platform, "*", "kept"), is("200 era 0 version \"1\" "));
      platform.putObject("kept", "1".getBytes(UTF_8));
      Thread.sleep(1_200);
      assertThat(write(platform, "\"1\"", "lost"), is("200 era 0 version \"2\" "));
      platform.putObject("kept", "2".getBytes(UTF_8));
      platform.putObject("lost", "3".getBytes(UTF_8));

      platform.restore(1_000, 300);
      assertThat(read(platform, "/table/row?key=k"), is("503 era 1 version none "));
      Thread.sleep(400);
      assertThat(read(platform, "/table/row?key=k"), is("200 era 1 version \"1\" kept"));
      assertThat(read(platform, "/objects/object?name=kept"), is("200 era 1 version \"1\" 1"));
      assertThat(read(platform, "/objects/object?name=lost"), is("404 era 1 version none "));
      assertThat(write(platform, "\"1\"", "other"), is("200 era 1 version \"2\" "));

      String restored =
          send(
              platform,
              "/control/restore",
              HttpRequest.newBuilder()
                  .POST(BodyPublishers.ofString("{\"ageMillis\": 60000, \"awayMillis\": 0}")));
      assertThat(restored, is("200 era none version none {\"era\":2}"));
      assertThat(read(platform, "/table/row?key=k"), is("404 era 2 version none "));
    }
  }
}
