package io.zinniawood.dist.soak;

import io.zinniawood.dist.soak.SoakCluster.Relay;
import io.zinniawood.dist.users.HttpMessageReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that uses its connection to a relay process until the connection ends. */
final class KeptCaller {
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final SoakCaller answers;
  private Socket socket = new Socket();
  private HttpMessageReader input;

  /**
   * Creates a caller without a connection.
   *
   * @param answers checks the responses
   */
  KeptCaller(SoakCaller answers) {
    this.answers = answers;
  }

  /** Sends one request, on a new connection if the last one has ended. */
  void call(Relay relay, SoakRequest form, int keyVersion) {
    try {
      if (input == null) {
        connect(relay);
      }
      send(answers.newRequest(form.kind()), form, keyVersion);
    } catch (IOException ended) {
      // Expected, as faults and drains end connections.
      close();
    }
  }

  private void connect(Relay relay) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), relay.callersAddress.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    input = new HttpMessageReader(socket.getInputStream());
  }

  private void send(String id, SoakRequest form, int keyVersion) throws IOException {
    SoakCaller.RequestKind kind = form.kind();
    String body = form.get() ? "" : SoakCaller.body(id);
    String bodyHeaders =
        form.get()
            ? ""
            : "Content-Type: application/json\r\nContent-Length: %d\r\n".formatted(body.length());
    String request =
        """
        %s %s%s HTTP/1.1\r
        Host: 127.0.0.1\r
        Attempt-Id: %s\r
        Authorization: Token %s\r
        Deadline-Ms: %d\r
        Token-Counts: 100,40\r
        %s\r
        %s"""
            .formatted(
                form.get() ? "GET" : "POST",
                kind.path,
                id,
                id,
                SoakCluster.key(keyVersion),
                form.limitMillis(),
                bodyHeaders,
                body);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    HttpMessageReader.Head head = input.readHead();
    if (head == null) {
      throw new IOException("connection ended without a response");
    }
    answers.checkKept(id, kind, head, input.readBody(head, true));
  }

  /** Closes the connection. */
  void close() {
    input = null;
    try {
      socket.close();
    } catch (IOException failure) {
      // The connection has ended already.
    }
  }
}
