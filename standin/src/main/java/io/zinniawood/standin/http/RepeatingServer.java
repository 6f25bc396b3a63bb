package io.zinniawood.standin.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP server on loopback that writes each response twice and keeps its connections open. */
public final class RepeatingServer implements AutoCloseable {
  private final ServerSocket listener;
  private final Responder responder;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /**
   * Head of a request.
   *
   * @param target path and query
   * @param headers header fields with names in lower case
   */
  public record Head(String target, Map<String, String> headers) {}

  /** Computes the bytes of a response. */
  @FunctionalInterface
  public interface Responder {
    /** Returns status line, header fields and body; the bytes are the characters as ISO 8859-1. */
    String respond(Head request);
  }

  private RepeatingServer(ServerSocket listener, Responder responder) {
    this.listener = listener;
    this.responder = responder;
  }

  /**
   * Starts a server on a free port.
   *
   * @throws IOException if no port can be opened
   */
  public static RepeatingServer launch(Responder responder) throws IOException {
    RepeatingServer server =
        new RepeatingServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), responder);
    startDaemon(server::accept);
    return server;
  }

  /** Returns the base URI of the server. */
  public URI uri() {
    return URI.create("http://127.0.0.1:" + listener.getLocalPort());
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "repeating-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = listener.accept();
        connections.add(connection);
        startDaemon(() -> serve(connection));
      }
    } catch (IOException stopped) {
      // The server was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        String response = responder.respond(readRequest(line, reader));
        connection
            .getOutputStream()
            .write((response + response).getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException closed) {
      // The client or the server closed the connection.
    } finally {
      connections.remove(connection);
    }
  }

  private static Head readRequest(String requestLine, BufferedReader reader) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    for (String line = reader.readLine();
        line != null && !line.isEmpty();
        line = reader.readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int bodyBytes = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    for (int read = 0; read < bodyBytes; read++) {
      if (reader.read() < 0) {
        throw new IOException("the request body ended early");
      }
    }
    return new Head(requestLine.split(" ", -1)[1], headers);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
