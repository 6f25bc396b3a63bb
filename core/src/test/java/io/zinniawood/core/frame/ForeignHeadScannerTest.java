package io.zinniawood.core.frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays bodies that are filled by another response, at each place. */
final class ForeignHeadScannerTest {
  private static final String REPETITION =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 17\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";

  private static ForeignHead scan(String body, String... ids) {
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    return ForeignHeadScanner.scan(index -> bytes[index], bytes.length, List.of(ids));
  }

  // Guards against a cut body that its repeated response fills up to any byte.
  @Test
  void partsOfRepetitionsAreFound() {
    int idEnd = REPETITION.indexOf("17\r\n") + 4;
    for (int filled = 1; filled <= REPETITION.length(); filled++) {
      String part = REPETITION.substring(0, filled);
      assertThat(
          part,
          scan("{\"level\":" + part, "16", "17"),
          is(filled < idEnd ? ForeignHead.POSSIBLE : ForeignHead.PRESENT));
    }
  }

  @Test
  void quotedResponsesToOtherRequestsAreNoForeignHead() {
    String quoted = "log: " + REPETITION + " HTTP/1.1 HTTP/2 200 HTTP/1.1 x00 H";
    assertThat(scan(quoted + "\n", "18"), is(ForeignHead.ABSENT));
    assertThat(scan(quoted, "18"), is(ForeignHead.POSSIBLE));
    assertThat(scan(quoted + "TTP", "18"), is(ForeignHead.POSSIBLE));
    assertThat(scan(quoted + "TTP" + REPETITION, "17"), is(ForeignHead.PRESENT));
  }

  @Test
  void idOutsideOfHeadsIsNoForeignHead() {
    assertThat(scan("Attempt-Id: 17\r\n\r\n{}\n", "17"), is(ForeignHead.ABSENT));
    assertThat(scan("GET / HTTP/1.1\r\nAttempt-Id: 17\r\n\r\n", "17"), is(ForeignHead.ABSENT));
  }

  // Guards against a body of status lines without end that costs quadratic time.
  @Test
  void scanTakesLinearTime() {
    byte[] bytes = "HTTP/1.1 200\n".repeat(20_000).getBytes(StandardCharsets.US_ASCII);
    int[] reads = new int[1];
    ForeignHeadScanner.scan(
        index -> {
          reads[0]++;
          return bytes[index];
        },
        bytes.length,
        List.of("17"));
    assertThat(reads[0] < 10 * bytes.length, is(true));
  }
}
