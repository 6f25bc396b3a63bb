package io.zinniawood.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class DecisionLogTest {
  private static final Instant TIME = Instant.parse("2026-12-04T00:00:00Z");

  /** Output that blocks all writes until it is released. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      try {
        released.await();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        throw new IOException(interrupted);
      }
      written.write(bytes, offset, length);
    }
  }

  // A blocked output must not block callers, and the log must report the dropped lines.
  @Test
  void blockedOutputDoesNotBlockCallersAndDropsAreReported() {
    BlockedOutput output = new BlockedOutput();
    long[] nowNanos = {0};
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> nowNanos[0]);
    for (int line = 0; line < 30_000; line++) {
      nowNanos[0] += 1_000_000;
      log.add("event", List.of("line", line));
    }
    assertThat(log.droppedLines(), greaterThan(0L));
    output.released.countDown();
    log.close();
    String text = output.written.toString(StandardCharsets.UTF_8);
    assertThat(text, containsString("\"event\":\"log-lines-dropped\""));
  }

  // Readers of a pipe lose parts of large writes, and with them lines of the most eventful moments.
  @Test
  void manyLinesAreWrittenAsSmallWritesOfWholeLines() {
    List<String> writes = new ArrayList<>();
    OutputStream output =
        new OutputStream() {
          @Override
          public void write(int value) {
            throw new AssertionError("expected whole arrays, got the single byte " + value);
          }

          @Override
          public void write(byte[] bytes, int offset, int length) {
            writes.add(new String(bytes, offset, length, StandardCharsets.UTF_8));
          }
        };
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> 0);
    for (int line = 0; line < 500; line++) {
      log.add("event", List.of("line", line, "text", "x".repeat(line)));
    }
    log.close();
    assertThat(String.join("", writes).lines().count(), is(500L));
    for (String write : writes) {
      assertThat(write.length(), lessThanOrEqualTo(4_096));
      assertThat(write, endsWith("}\n"));
    }
  }

  // The rate limit bounds the volume of the log under overload.
  @Test
  void linesOverTheRateLimitAreDropped() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> 0);
    for (int line = 0; line < DecisionLog.MAX_LINES_PER_SECOND + 7; line++) {
      log.add("event", List.of());
    }
    log.close();
    assertThat(log.droppedLines(), is(7L));
  }

  // Under overload the lines of an incident were dropped with the ordinary ones.
  @Test
  void priorityLineIsWrittenAlthoughOrdinaryLinesExceedTheRateLimit() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> 0);
    for (int line = 0; line < DecisionLog.MAX_LINES_PER_SECOND + 7; line++) {
      log.add("event", List.of());
    }
    log.addPriority("bytes-after-answer", List.of("request", "r"));
    log.add("event", List.of());
    log.close();
    assertThat(output.toString(StandardCharsets.UTF_8), containsString("\"request\":\"r\""));
    assertThat(log.droppedLines(), is(8L));
  }

  // A reader that had stopped for a while lost the lines of an incident with the ordinary ones.
  @Test
  void priorityLineIsWrittenAlthoughTheQueueIsFull() {
    BlockedOutput output = new BlockedOutput();
    long[] nowNanos = {0};
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> nowNanos[0]);
    for (int line = 0; line < 30_000; line++) {
      nowNanos[0] += 1_000_000;
      log.add("event", List.of("line", line));
    }
    log.addPriority("bytes-after-answer", List.of("request", "r"));
    output.released.countDown();
    log.close();
    assertThat(
        output.written.toString(StandardCharsets.UTF_8), containsString("\"request\":\"r\""));
  }

  // An endpoint that answers twice without end must not fill the memory or the disk.
  @Test
  void priorityLinesAreBoundedAndTheirDropsAreReported() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> 0);
    int written = DecisionLog.MAX_LINES_PER_SECOND + DecisionLog.PRIORITY_LINES_PER_SECOND;
    for (int line = 0; line < written + 7; line++) {
      log.addPriority("bytes-after-answer", List.of());
    }
    log.close();
    String text = output.toString(StandardCharsets.UTF_8);
    assertThat(log.droppedLines(), is(7L));
    assertThat(text, containsString("\"event\":\"log-lines-dropped\",\"lines\":7}"));
    assertThat(text.lines().count(), is(written + 1L));
  }

  // An endpoint that answers twice must not push the queue beyond its bound while a reader stops.
  @Test
  void queuedPriorityLinesAreBounded() {
    BlockedOutput output = new BlockedOutput();
    long[] nowNanos = {0};
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> nowNanos[0]);
    for (int line = 0; line < 30_000; line++) {
      nowNanos[0] += 1_000_000;
      log.addPriority("bytes-after-answer", List.of());
    }
    int queued = DecisionLog.MAX_QUEUED_LINES + DecisionLog.QUEUED_PRIORITY_LINES;
    assertThat(log.droppedLines(), greaterThanOrEqualTo(30_000L - 2 * queued));
    output.released.countDown();
    log.close();
  }

  // Each event must be one line of valid JSON, whatever request id a caller sends.
  @Test
  void fieldsAreEscaped() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog(output, () -> TIME, () -> 0);
    log.add("event", List.of("request", "a\"b\\c\nd", "ready", true, "millis", 5));
    log.close();
    assertThat(
        output.toString(StandardCharsets.UTF_8),
        is(
            "{\"timestamp\":\"2026-12-04T00:00:00Z\",\"event\":\"event\","
                + "\"request\":\"a\\\"b\\\\c\\u000ad\",\"ready\":true,\"millis\":5}\n"));
  }
}
