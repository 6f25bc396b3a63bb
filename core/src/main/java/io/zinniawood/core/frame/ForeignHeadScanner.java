package io.zinniawood.core.frame;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.stream.Stream;

/** Searches the body of an HTTP/1.1 response for the head of another response. */
public final class ForeignHeadScanner {
  private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** Length of a status line up to its status, as in {@code HTTP/1.1 200}. */
  private static final int STATUS_LINE_BYTES = VERSION.length + 5;

  private final IntUnaryOperator byteAt;
  private final int end;
  private final Set<String> requestIds;

  private ForeignHeadScanner(IntUnaryOperator byteAt, int length, Set<String> requestIds) {
    this.byteAt = byteAt;
    this.end = length;
    this.requestIds = requestIds;
  }

  /**
   * Searches a body. A head counts if the value of one of its fields is the id of a request that
   * the connection has carried, so that a body may quote responses to other requests.
   *
   * @param byteAt returns the byte at an index from 0 on
   * @param length length of the body in bytes
   * @param requestIds ids of the requests that the connection has carried
   */
  public static ForeignHead scan(
      IntUnaryOperator byteAt, int length, Collection<String> requestIds) {
    return new ForeignHeadScanner(byteAt, length, Set.copyOf(requestIds)).scan();
  }

  /**
   * Returns whether the head of another response has completed a head.
   *
   * @param reasonPhrase reason phrase of the head
   * @param fields fields of the head, each with its name and its value
   */
  public static boolean completedByAnotherHead(String reasonPhrase, Stream<String> fields) {
    return Stream.concat(Stream.of(reasonPhrase), fields)
        .anyMatch(text -> holdsStatusLine(text::charAt, text.length()));
  }

  /**
   * Returns whether a body holds the start of a status line.
   *
   * @param byteAt returns the byte at an index from 0 on
   * @param length length of the body in bytes
   */
  public static boolean holdsStatusLine(IntUnaryOperator byteAt, int length) {
    ForeignHeadScanner scanner = new ForeignHeadScanner(byteAt, length, Set.of());
    for (int index = 0; index + STATUS_LINE_BYTES <= length; index++) {
      if (scanner.mayBeStatusLine(index)) {
        return true;
      }
    }
    return false;
  }

  private ForeignHead scan() {
    int index = 0;
    while (index < end) {
      if (byteAt.applyAsInt(index) != VERSION[0] || !mayBeStatusLine(index)) {
        index++;
        continue;
      }
      if (end - index < STATUS_LINE_BYTES) {
        return ForeignHead.POSSIBLE;
      }
      int lineEnd = lineEnd(index + STATUS_LINE_BYTES);
      String line;
      do {
        int lineStart = lineEnd + 1;
        if (lineStart >= end) {
          return ForeignHead.POSSIBLE;
        }
        lineEnd = lineEnd(lineStart);
        line = text(lineStart, lineEnd);
        if (requestIds.contains(line.substring(line.indexOf(':') + 1).strip())) {
          return ForeignHead.PRESENT;
        }
        if (lineEnd == end) {
          return ForeignHead.POSSIBLE;
        }
      } while (!line.isEmpty());
      // Other status lines before the blank line have the same fields after them.
      index = lineEnd;
    }
    return ForeignHead.ABSENT;
  }

  /** Returns whether the bytes up to the end of the body can begin a status line. */
  private boolean mayBeStatusLine(int from) {
    int length = Math.min(STATUS_LINE_BYTES, end - from);
    for (int offset = 0; offset < length; offset++) {
      int value = byteAt.applyAsInt(from + offset);
      boolean fits =
          offset < VERSION.length
              ? value == VERSION[offset]
              : offset == VERSION.length + 1 ? value == ' ' : Character.isDigit(value);
      if (!fits) {
        return false;
      }
    }
    return true;
  }

  private int lineEnd(int from) {
    int index = from;
    while (index < end && byteAt.applyAsInt(index) != '\n') {
      index++;
    }
    return index;
  }

  private String text(int from, int lineEnd) {
    StringBuilder line = new StringBuilder();
    for (int index = from; index < lineEnd; index++) {
      line.append((char) (byteAt.applyAsInt(index) & 0xff));
    }
    return line.toString().strip();
  }
}
