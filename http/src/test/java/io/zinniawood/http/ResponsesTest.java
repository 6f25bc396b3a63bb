package io.zinniawood.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import okhttp3.Headers;
import org.junit.jupiter.api.Test;

class ResponsesTest {
  // Guards against reporting a request as not sent when its response was malformed or lost.
  @Test
  void malformedResponseIsReportedAsLost() {
    assertThat(decode(response("no JSON")).getLeft().startsWith("lost"), equalTo(true));
    assertThat(decode(response("{}")).getLeft().startsWith("lost"), equalTo(true));
    assertThat(decode(new HttpResult.ResponseLost("reset")).getLeft(), equalTo("lost reset"));
    assertThat(decode(new HttpResult.NotSent("refused")).getLeft(), equalTo("not sent refused"));
    assertThat(decode(response("{\"value\":7}")).get(), equalTo(7L));
  }

  // Guards against error messages that contain a whole large response.
  @Test
  void detailIsTruncated() {
    String detail = Responses.detail(response("x".repeat(100_000)));
    assertThat(detail.length(), lessThan(300));
    assertThat(detail, endsWith("..."));
  }

  private static Either<String, Long> decode(HttpResult result) {
    return Responses.decode(
        result,
        detail -> "not sent " + detail,
        detail -> "lost " + detail,
        response -> Either.right(Json.longField(Json.parseObject(response.body()), "value")));
  }

  private static HttpResult.Response response(String body) {
    return new HttpResult.Response(200, Headers.of(), body.getBytes(StandardCharsets.UTF_8));
  }
}
