package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Sends one request on a new channel and reads its answer byte by byte. */
final class Http {
  private Http() {}

  /**
   * An answer as the client sees it.
   *
   * @param complete whether the body ended as its framing says
   */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
    boolean signed() {
      return headers.containsKey("replica-signature");
    }

    @Override
    public String toString() {
      return "%d, signature %s, Retry-After %s, body %d bytes, %s"
          .formatted(
              status,
              headers.getOrDefault("replica-signature", "none"),
              headers.getOrDefault("retry-after", "none"),
              body.length,
              complete ? "complete" : "broken off");
    }
  }

  static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next;
    while ((next = input.read()) >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
    }
    if (next < 0 && line.size() > 0) {
      throw new EOFException("the channel ended within a line");
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns a body that names the request, so that each request has another one. */
  static byte[] bodyOf(String request, int bytes) {
    StringBuilder text = new StringBuilder();
    while (text.length() < bytes) {
      text.append("request ").append(request).append(' ').append(text.length()).append('\n');
    }
    return text.substring(0, bytes).getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends a request; the answer is null if the channel ended before its head. */
  static Answer send(int port, String method, String path, String id, int deadlineMillis, byte[] body)
      throws IOException {
    return send(port, method, path, id, deadlineMillis, body, "");
  }

  /** Sends a request with further header lines. */
  static Answer send(
      int port,
      String method,
      String path,
      String id,
      int deadlineMillis,
      byte[] body,
      String moreHeaders)
      throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadlineMillis + 2_000);
      String head =
          "%s %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                  .formatted(method, path, id, deadlineMillis)
              + "Authorization: Token key-1\r\n"
              + moreHeaders
              + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "")
              + "\r\n";
      OutputStream output = socket.getOutputStream();
      output.write(head.getBytes(StandardCharsets.US_ASCII));
      output.write(body);
      output.flush();
      return read(new BufferedInputStream(socket.getInputStream()));
    }
  }

  private static Answer read(InputStream input) throws IOException {
    String statusLine = readLine(input);
    if (statusLine.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    String line;
    while (!(line = readLine(input)).isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = false;
    try {
      if (headers.containsKey("content-length")) {
        int length = Integer.parseInt(headers.get("content-length"));
        body.write(input.readNBytes(length));
        complete = body.size() == length;
      } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        int size;
        while ((size = Integer.parseInt(readLine(input).trim(), 16)) > 0) {
          byte[] chunk = input.readNBytes(size);
          body.write(chunk);
          if (chunk.length < size) {
            return new Answer(status, headers, body.toByteArray(), false);
          }
          readLine(input);
        }
        complete = true;
      } else {
        body.write(input.readAllBytes());
        complete = true;
      }
    } catch (IOException | NumberFormatException brokenOff) {
      complete = false;
    }
    return new Answer(status, headers, body.toByteArray(), complete);
  }
}
