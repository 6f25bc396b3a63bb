package io.zinniawood.dist;

import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Tests an entry process with a small heap beside callers that use up its memory. */
final class EntryCrowdTest {
  /** Few, so that a small crowd uses them up. */
  private static final int DESCRIPTORS = 300;

  private static final RoleProcess.Limits LIMITS =
      new RoleProcess.Limits(CrowdCheck.SMALL_ENTRY_OPTIONS, DESCRIPTORS);
  private static final CrowdCheck.Bounds BOUNDS =
      new CrowdCheck.Bounds(CrowdCheck.SMALL_ENTRY_BYTES, DESCRIPTORS);

  private static final int CALLERS = 100;
  private static final String KEY = "Authorization: Bearer " + ProcessCluster.API_KEY + "\r\n";
  private static final String HEAD = " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + KEY;
  private static final String GET = "GET /services/credit/ledger" + HEAD;
  private static final String POST = "POST /v1/chat/completions" + HEAD;
  private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String SHORT_LINES = "a:\r\n".repeat(1_000);

  private ProcessCluster cluster;
  private ProcessCluster.Entry entry;
  private CrowdCheck check;

  @BeforeEach
  void startEntry(TestInfo test) throws Exception {
    cluster = new ProcessCluster("entry-crowd-" + test.getTestMethod().get().getName());
    cluster.addService("credit-1");
    cluster.addEntry("entry-1", LIMITS);
    entry = cluster.entry("entry-1");
    check = newCheck();
    check.awaitOrdinaryAnswer();
  }

  private CrowdCheck newCheck() {
    // A new client opens a new connection.
    return new CrowdCheck(
        entry.process(),
        BOUNDS,
        () -> new Caller().get(entry.callersUri(), "/services/credit/ledger").status() == 200);
  }

  @AfterEach
  void stop() throws IOException {
    check.close();
    cluster.close();
  }

  private static NodeAddress address(URI uri) {
    return new NodeAddress(uri.getHost(), uri.getPort());
  }

  private void withstands(URI listener, String opening, String repeated, int repetitions)
      throws Exception {
    check.withstands(
        address(listener), CALLERS, new CallerCrowd.Bytes(opening, repeated, repetitions, 0));
  }

  private void withstands(String opening, String repeated, int repetitions) throws Exception {
    withstands(entry.callersUri(), opening, repeated, repetitions);
  }

  // Guards against lines that the decoder holds before a head is complete.
  @Test
  void headsWithoutEnd() throws Exception {
    withstands(GET, SHORT_LINES, 1_000);
  }

  // Guards against complete heads of legal size that together exceed the heap.
  @Test
  void manyShortLinesBeforeAnUnfinishedBody() throws Exception {
    withstands(POST + SHORT_LINES.repeat(12) + "Content-Length: 1000\r\n\r\n", "x", 10);
  }

  // Guards against heads of requests in progress that are not counted.
  @Test
  void manyShortLinesOfPipelinedRequests() throws Exception {
    withstands("", GET + SHORT_LINES.repeat(12) + "\r\n", 40);
  }

  // Guards against lines that cost more than their bytes or that the decoder does not expect.
  @Test
  void unusualLines() throws Exception {
    String line = "\u00e9: \u00ff\r\n\tfolded\r\nHost: a\r\nx: " + "x".repeat(1_000) + "\r\n";
    withstands(GET, line.repeat(10) + "\r\n" + GET, 100);
    withstands(GET, "a:\r\n\tb\r\n".repeat(1_500) + "\r\n" + GET, 40);
  }

  // Guards against heads that are decoded in full before their size is checked.
  @Test
  void headsOverTheLimit() throws Exception {
    withstands("", GET + SHORT_LINES.repeat(20) + "\r\n", 20);
  }

  // Guards against work and bytes before a request line without a limit.
  @Test
  void emptyLinesWithoutEnd() throws Exception {
    withstands("", "\r\n".repeat(10_000), 2_000);
  }

  // Guards against trailers that are held without being counted.
  @Test
  void trailersWithoutEnd() throws Exception {
    withstands(CHUNKED + "1\r\nx\r\n0\r\n", SHORT_LINES.repeat(2), 1_000);
  }

  // Guards against chunks of one byte that each hold a buffer of a whole read.
  @Test
  void chunksOfOneByte() throws Exception {
    withstands(CHUNKED, "1\r\nx\r\n".repeat(100), 5_000);
  }

  // Guards against chunk extensions without end.
  @Test
  void chunkExtensionsWithoutEnd() throws Exception {
    withstands(CHUNKED, "1;" + "x".repeat(8_000) + "\r\nx\r\n", 10_000);
  }

  // Guards against bodies within the limit that together exceed the memory.
  @Test
  void unfinishedBodies() throws Exception {
    withstands(POST + "Content-Length: 1000000\r\n\r\n", "x".repeat(10_000), 99);
  }

  // Guards against answers that nobody takes.
  @Test
  void answersThatAreNotRead() throws Exception {
    withstands("", ("GET /none" + HEAD + "\r\n").repeat(100), 1_000);
  }

  // Guards against several kinds of crowds that each keep to a limit of their own.
  @Test
  void severalCrowdsTogether() throws Exception {
    NodeAddress callers = address(entry.callersUri());
    check.join(callers, 30, new CallerCrowd.Bytes(GET, SHORT_LINES, 1_000, 0));
    check.join(
        callers,
        30,
        new CallerCrowd.Bytes(POST + "Content-Length: 1000000\r\n\r\n", "x".repeat(10_000), 99, 0));
    check.join(
        callers,
        30,
        new CallerCrowd.Bytes("", ("GET /none" + HEAD + "\r\n").repeat(100), 1_000, 0));
    check.join(
        address(entry.adminUri()),
        30,
        new CallerCrowd.Bytes("GET /readyz HTTP/1.1\r\n", SHORT_LINES, 1_000, 0));
    check.withstands();
  }

  // Guards against connections that hold the descriptors of other callers.
  @Test
  void idleConnections() throws Exception {
    check.withstands(
        address(entry.callersUri()), 400, new CallerCrowd.Bytes(GET + "\r\n", "", 0, 0));
  }

  // Guards against connections that take the descriptors which the callers leave.
  @Test
  void idleConnectionsAtTheAdministrationListener() throws Exception {
    check.withstands(address(entry.adminUri()), 400, new CallerCrowd.Bytes("", "", 0, 0));
  }

  // Guards against connections that are accepted before the limits apply.
  @Test
  void crowdDuringTheStart() throws Exception {
    check.close();
    cluster.restartEntry("entry-1", LIMITS);
    entry = cluster.entry("entry-1");
    check = newCheck();
    for (int count = 0; count < 100; count++) {
      check.join(address(entry.callersUri()), 5, new CallerCrowd.Bytes(GET, SHORT_LINES, 1_000, 0));
      TimeUnit.MILLISECONDS.sleep(20);
    }
    check.withstands();
  }

  // Guards against a drain that waits for callers which never finish.
  @Test
  void drainBesideCrowds() throws Exception {
    NodeAddress callers = address(entry.callersUri());
    check.join(callers, 30, new CallerCrowd.Bytes(GET, "a:\r\n", 20_000, 5));
    check.join(callers, 30, new CallerCrowd.Bytes(CHUNKED, "1\r\nx\r\n", 20_000, 5));
    check.join(callers, 30, new CallerCrowd.Bytes("", (GET + "\r\n").repeat(10), 1_000, 5));
    check.awaitOrdinaryAnswer();
    check.drains();
  }

  // Guards against a listener without limits beside the one for callers.
  @Test
  void headsWithoutEndAtTheAdministrationListener() throws Exception {
    withstands(entry.adminUri(), "GET /readyz HTTP/1.1\r\n", SHORT_LINES, 1_000);
  }

  // Guards against metrics that are rendered and held for a reader that takes none.
  @Test
  void metricsThatAreNotRead() throws Exception {
    withstands(entry.adminUri(), "", "GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 20_000);
  }
}
