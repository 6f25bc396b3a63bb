package io.zinniawood.dist.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;

import io.zinniawood.dist.users.AnswerLedger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that the check finds answers that differ from the record of their endpoint. */
final class LedgerCheckTest {
  private static final String SIGNATURE = AnswerLedger.SIGNATURE_PREFIX + "1";
  private static final String REQUEST = "soak-1";
  private static final byte[] BODY = "whole body".getBytes(StandardCharsets.UTF_8);
  private static final String RUN = "run " + SIGNATURE + " " + REQUEST;

  private final Violations violations = new Violations();
  private final LedgerCheck check = new LedgerCheck(violations);

  private void checkAgainst(String... lines) {
    check.check(Stream.of(lines).map(line -> line.split(" ")).toList(), request -> false);
  }

  private static String plain(int status, String end) {
    return "plain %s %d %s %s".formatted(SIGNATURE, status, AnswerLedger.checksum(BODY), end);
  }

  @Test
  void recordedAnswerIsNoViolation() {
    check.receivedPlain(REQUEST, 200, SIGNATURE, BODY);
    checkAgainst(RUN, plain(200, "whole"));
    assertThat(violations.all(), empty());
  }

  @Test
  void findsPartOfBodyAsWhole() {
    check.receivedPlain(REQUEST, 200, SIGNATURE, new byte[] {1});
    checkAgainst(RUN, plain(200, "whole"));
    assertOneViolation();
  }

  @Test
  void findsAnswerThatWasNotWritten() {
    check.receivedPlain(REQUEST, 200, SIGNATURE, BODY);
    checkAgainst(RUN);
    assertOneViolation();
  }

  @Test
  void findsAnswerThatItsEndpointBrokeOff() {
    check.receivedPlain(REQUEST, 200, SIGNATURE, BODY);
    checkAgainst(RUN, plain(200, "part"));
    assertOneViolation();
  }

  @Test
  void findsSuccessWhereEndpointFailed() {
    check.receivedPlain(REQUEST, 200, SIGNATURE, BODY);
    checkAgainst(RUN, plain(500, "whole"));
    assertOneViolation();
  }

  @Test
  void findsSuccessWhereEndpointStoppedAtTimeLimit() {
    check.receivedPlain(REQUEST, 200, SIGNATURE, BODY);
    checkAgainst(RUN, plain(504, "part"));
    assertOneViolation();
  }

  @Test
  void findsStreamThatFailedAfterItsLastEvent() {
    check.receivedStream(REQUEST, SIGNATURE);
    checkAgainst(RUN, "stream " + SIGNATURE + " 504 1-40 whole");
    assertOneViolation();
  }

  @Test
  void findsFailureWithOtherStatus() {
    check.receivedPlain(REQUEST, 503, SIGNATURE, BODY);
    checkAgainst(RUN, plain(500, "whole"));
    assertOneViolation();
  }

  @Test
  void findsAnswerToOtherRequest() {
    check.receivedPlain("soak-2", 200, SIGNATURE, BODY);
    checkAgainst(RUN, plain(200, "whole"));
    assertOneViolation();
  }

  @Test
  void findsStreamThatNoRunEnded() {
    check.receivedStream(REQUEST, SIGNATURE);
    checkAgainst(RUN, "stream " + SIGNATURE + " 200 1-20 part");
    assertOneViolation();
  }

  @Test
  void streamThatItsSecondRunEndedIsNoViolation() {
    String second = AnswerLedger.SIGNATURE_PREFIX + "2";
    check.receivedStream(REQUEST, SIGNATURE);
    checkAgainst(
        RUN,
        "stream " + SIGNATURE + " 200 1-20 part",
        "run " + second + " " + REQUEST,
        "stream " + second + " 200 21-40 whole");
    assertThat(violations.all(), empty());
  }

  @Test
  void countsRunsOfRequest() {
    assertThat(
        List.copyOf(
            LedgerCheck.runs(List.of(RUN.split(" "), RUN.split(" "), new String[] {"written", "x"}))
                .values()),
        contains(2));
  }

  private void assertOneViolation() {
    assertThat(violations.all(), contains(containsString("ledger: ")));
  }
}
