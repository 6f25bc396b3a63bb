package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Loopback proxy whose open channels can fall silent for good while new ones work. */
final class Proxy implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket();
  private final String target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  private static final class Link {
    Socket caller;
    Socket server;
    volatile boolean silent;
  }

  Proxy(String target) throws IOException {
    this.target = target;
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
    Http.daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket caller = listener.accept();
        int colon = target.indexOf(':');
        Link link = new Link();
        link.caller = caller;
        link.server =
            new Socket(
                target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        caller.setTcpNoDelay(true);
        link.server.setTcpNoDelay(true);
        links.add(link);
        Http.daemon(() -> pump(link, caller, link.server));
        Http.daemon(() -> pump(link, link.server, caller));
      } catch (IOException failed) {
        // The listener is closed, or the server is gone.
      }
    }
  }

  private void pump(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        if (!link.silent) {
          out.write(buffer, 0, read);
        }
      }
    } catch (IOException ended) {
      // One side has closed.
    }
    if (!link.silent) {
      close(link);
    }
  }

  private void close(Link link) {
    links.remove(link);
    try {
      link.caller.close();
      link.server.close();
    } catch (IOException ignored) {
      // It is closed.
    }
  }

  /** Drops everything on the channels that are open now, without closing them; returns how many. */
  int silence() {
    int count = 0;
    for (Link link : links) {
      if (!link.silent) {
        link.silent = true;
        count++;
      }
    }
    return count;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Link link : links) {
      close(link);
    }
  }
}
