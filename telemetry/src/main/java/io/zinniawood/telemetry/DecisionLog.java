package io.zinniawood.telemetry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Asynchronous log that writes one JSON line for each event. Callers never block: a background
 * thread writes the lines from a bounded queue. Lines that exceed the queue or the rate limit are
 * dropped, and the writer logs how many were dropped. Both bounds leave room for priority lines,
 * the lines that an incident is traced by, when they admit no ordinary line any more.
 */
public final class DecisionLog implements AutoCloseable {
  /** Capacity of the queue in lines. */
  static final int MAX_QUEUED_LINES = 8_192;

  /** About three times the expected rate of 10 lines for each of 64 requests per second. */
  static final int MAX_LINES_PER_SECOND = 2_000;

  /** Additional capacity of the queue for priority lines, in lines. */
  static final int QUEUED_PRIORITY_LINES = 1_024;

  /** Additional priority lines in a second that has used up the limit. */
  static final int PRIORITY_LINES_PER_SECOND = 200;

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Interval between two writes, so that lines are written in batches. */
  private static final long BATCH_INTERVAL_NANOS = 100_000_000;

  /**
   * Maximum size of a write of several lines. Pipes keep a write of up to 4,096 bytes (PIPE_BUF)
   * whole; readers lost parts of larger ones.
   */
  private static final int MAX_WRITE_CHARACTERS = 4_096;

  private final OutputStream output;
  private final Supplier<Instant> clock;
  private final LongSupplier nanoClock;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Deque<Line> queue = new ArrayDeque<>();
  private final Thread writer;
  private long secondStartNanos;
  private int linesInSecond;

  /** Dropped lines that the log has not reported yet. */
  private long droppedLines;

  private long totalDroppedLines;
  private boolean closed;

  private record Line(Instant time, String event, List<Object> fields) {}

  /**
   * Creates a log and starts its writer thread.
   *
   * @param output output of the lines; its writes may block
   * @param clock wall clock for the timestamps
   * @param nanoClock monotonic clock in nanoseconds
   */
  public DecisionLog(OutputStream output, Supplier<Instant> clock, LongSupplier nanoClock) {
    this.output = output;
    this.clock = clock;
    this.nanoClock = nanoClock;
    this.secondStartNanos = nanoClock.getAsLong();
    this.writer = new Thread(this::runWriter, "decision-log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Queues a line, or drops it if the queue is full or the rate limit is exceeded.
   *
   * @param event name of the event
   * @param fields alternating field names and values
   */
  public void add(String event, List<Object> fields) {
    add(event, fields, MAX_QUEUED_LINES, MAX_LINES_PER_SECOND);
  }

  /**
   * Queues a priority line, which has room where ordinary lines are dropped, or drops it if that
   * room is used up as well.
   *
   * @param event name of the event
   * @param fields alternating field names and values
   */
  public void addPriority(String event, List<Object> fields) {
    add(
        event,
        fields,
        MAX_QUEUED_LINES + QUEUED_PRIORITY_LINES,
        MAX_LINES_PER_SECOND + PRIORITY_LINES_PER_SECOND);
  }

  private void add(String event, List<Object> fields, int maxQueuedLines, int maxLinesPerSecond) {
    lock.lock();
    try {
      startSecondIfDue();
      if (linesInSecond < maxLinesPerSecond && queue.size() < maxQueuedLines) {
        linesInSecond++;
        queue.addLast(new Line(clock.get(), event, fields));
      } else {
        droppedLines++;
        totalDroppedLines++;
      }
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of lines dropped since the log was created. */
  public long droppedLines() {
    lock.lock();
    try {
      return totalDroppedLines;
    } finally {
      lock.unlock();
    }
  }

  private void startSecondIfDue() {
    long nowNanos = nanoClock.getAsLong();
    if (nowNanos - secondStartNanos >= NANOS_PER_SECOND) {
      secondStartNanos = nowNanos;
      linesInSecond = 0;
    }
  }

  private void runWriter() {
    StringBuilder text = new StringBuilder();
    while (true) {
      List<Line> lines = nextBatch();
      if (lines.isEmpty()) {
        return;
      }
      try {
        for (Line line : lines) {
          int wholeLines = text.length();
          appendLine(text, line);
          if (text.length() > MAX_WRITE_CHARACTERS && wholeLines > 0) {
            write(text.substring(0, wholeLines));
            text.delete(0, wholeLines);
          }
        }
        write(text.toString());
        text.setLength(0);
      } catch (IOException exception) {
        // The output is closed or broken; there is no other log to report this to.
        return;
      }
    }
  }

  private void write(String lines) throws IOException {
    output.write(lines.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private List<Line> nextBatch() {
    lock.lock();
    try {
      long waitNanos = BATCH_INTERVAL_NANOS;
      while (!closed && (queue.isEmpty() || waitNanos > 0)) {
        waitNanos = changed.awaitNanos(Math.max(waitNanos, BATCH_INTERVAL_NANOS));
      }
      List<Line> lines = new ArrayList<>(queue);
      queue.clear();
      if (droppedLines > 0) {
        lines.add(new Line(clock.get(), "log-lines-dropped", List.of("lines", droppedLines)));
        droppedLines = 0;
      }
      return lines;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return List.of();
    } finally {
      lock.unlock();
    }
  }

  private static void appendLine(StringBuilder text, Line line) {
    text.append("{\"timestamp\":\"").append(line.time()).append("\",\"event\":");
    appendText(text, line.event());
    List<Object> fields = line.fields();
    for (int index = 0; index + 1 < fields.size(); index += 2) {
      text.append(',');
      appendText(text, String.valueOf(fields.get(index)));
      text.append(':');
      appendValue(text, fields.get(index + 1));
    }
    text.append("}\n");
  }

  private static void appendValue(StringBuilder text, Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      text.append(value);
    } else {
      appendText(text, String.valueOf(value));
    }
  }

  private static void appendText(StringBuilder text, String value) {
    text.append('"');
    for (int index = 0; index < value.length(); index++) {
      char next = value.charAt(index);
      if (next == '"' || next == '\\') {
        text.append('\\').append(next);
      } else if (next < ' ') {
        text.append(String.format("\\u%04x", (int) next));
      } else {
        text.append(next);
      }
    }
    text.append('"');
  }

  /** Writes the queued lines and stops the writer thread; waits for at most 500 ms. */
  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static final long CLOSE_TIMEOUT_MILLIS = 500;
}
