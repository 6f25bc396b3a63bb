package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over sockets: a server with a thread for each connection, and a client call. */
final class Http {
  private Http() {}

  /** A message; the first line is split into its three words. */
  static final class Message {
    String[] first;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** Whether the body had a length or chunks and arrived whole. */
    boolean whole = true;

    int status() {
      return Integer.parseInt(first[1]);
    }

    String path() {
      int query = first[1].indexOf('?');
      return query < 0 ? first[1] : first[1].substring(0, query);
    }

    String query(String name) {
      int query = first[1].indexOf('?');
      if (query >= 0) {
        for (String pair : first[1].substring(query + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return "";
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles one request and writes the answer; the connection closes if it returns false. */
  interface Handler {
    boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
  }

  static final class Server implements AutoCloseable {
    final ServerSocket listener = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Server(Handler handler) throws IOException {
      this(handler, 0);
    }

    Server(Handler handler, int port) throws IOException {
      this.handler = handler;
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
      daemon(this::accept);
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    int connections() {
      return open.size();
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          daemon(() -> serve(socket));
        } catch (IOException closed) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        Message request = read(in, false);
        while (request != null && handler.handle(request, out, socket)) {
          request = read(in, false);
        }
      } catch (Exception ended) {
        // The peer has closed or the server ends.
      } finally {
        open.remove(socket);
      }
    }

    /** Closes the port and all connections, as the end of the process would. */
    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a message; null at the end of the connection. */
  static Message read(InputStream in, boolean answer) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    Message message = new Message();
    message.first = first.split(" ", 3);
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    String length = message.headers.get("Content-Length");
    if (message.headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      message.whole = false;
      String size = line(in);
      while (size != null) {
        int bytes = Integer.parseInt(size.trim(), 16);
        if (bytes == 0) {
          line(in);
          message.whole = true;
          break;
        }
        body.write(in.readNBytes(bytes));
        line(in);
        size = line(in);
      }
      message.body = body.toByteArray();
    } else if (length != null) {
      message.body = in.readNBytes(Integer.parseInt(length));
      message.whole = message.body.length == Integer.parseInt(length);
    } else if (answer && message.status() != 204) {
      message.body = in.readAllBytes();
    }
    return message;
  }

  /** Writes an answer; header lines are given as "Name: value". */
  static void answer(OutputStream out, int status, String body, String... headers)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
    for (String header : headers) {
      head.append(header).append("\r\n");
    }
    head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(bytes);
    out.write(all.toByteArray());
    out.flush();
  }

  /** Sends a request on a new connection and returns the answer; null if there is none. */
  static Message call(
      String address, String method, String path, String body, int timeoutMillis, String... headers)
      throws IOException {
    int colon = address.indexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1_000);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      for (String header : headers) {
        head.append(header).append("\r\n");
      }
      if (bytes.length > 0) {
        head.append("Content-Length: ").append(bytes.length).append("\r\n");
      }
      head.append("\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.write(bytes);
      socket.getOutputStream().write(all.toByteArray());
      return read(new BufferedInputStream(socket.getInputStream()), true);
    }
  }
}
