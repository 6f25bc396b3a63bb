package io.zinniawood.dist.users;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a connection, without any repair of malformed ones. */
public final class HttpMessageReader {
  private static final int CARRIAGE_RETURN = '\r';
  private static final int HEX = 16;

  private final InputStream input;

  /** Start line and headers of a message; names of headers are in lower case. */
  public record Head(String startLine, Map<String, String> headers) {
    /** Returns a header, or null if the message lacks it. */
    public String header(String name) {
      return headers.get(name);
    }
  }

  /** Creates a reader of the messages of a connection. */
  public HttpMessageReader(InputStream input) {
    this.input = new BufferedInputStream(input);
  }

  /** Returns the next head, or null if the connection has ended before its first byte. */
  public Head readHead() throws IOException {
    String startLine = readLine(true);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(false); !line.isEmpty(); line = readLine(false)) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("malformed header " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Head(startLine, headers);
  }

  /**
   * Returns the body of a message.
   *
   * @param untilEnd whether a body without length and chunks lasts until the end of the connection
   */
  public byte[] readBody(Head head, boolean untilEnd) throws IOException {
    if (head.header("transfer-encoding") != null) {
      return readChunks();
    }
    if (head.header("content-length") != null) {
      return readBytes(Integer.parseInt(head.header("content-length")));
    }
    return untilEnd ? input.readAllBytes() : new byte[0];
  }

  private byte[] readChunks() throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int size = chunkSize();
    while (size > 0) {
      body.write(readBytes(size));
      readLine(false);
      size = chunkSize();
    }
    while (!readLine(false).isEmpty()) {
      // Skips the trailers.
    }
    return body.toByteArray();
  }

  private int chunkSize() throws IOException {
    try {
      return Integer.parseInt(readLine(false).trim(), HEX);
    } catch (NumberFormatException malformed) {
      throw new IOException("malformed chunk size", malformed);
    }
  }

  private byte[] readBytes(int count) throws IOException {
    byte[] bytes = input.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("connection ended within a body");
    }
    return bytes;
  }

  private String readLine(boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0 && mayEnd && line.size() == 0) {
        return null;
      }
      if (next < 0) {
        throw new EOFException("connection ended within a head");
      }
      if (next != CARRIAGE_RETURN) {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }
}
