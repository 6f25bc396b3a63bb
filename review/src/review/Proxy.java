package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards channels to a port of 127.0.0.1; while it is cut, it resets old and new channels. */
final class Proxy {
  private final ServerSocket listener;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  Proxy(int target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void cut() {
    cut = true;
    sockets.forEach(Proxy::reset);
    sockets.clear();
  }

  void heal() {
    cut = false;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      // It is closed already.
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = listener.accept();
        if (cut) {
          reset(caller);
          continue;
        }
        caller.setTcpNoDelay(true);
        Socket server = new Socket("127.0.0.1", target);
        server.setTcpNoDelay(true);
        sockets.add(caller);
        sockets.add(server);
        start(() -> forward(caller, server));
        start(() -> forward(server, caller));
      }
    } catch (IOException ended) {
      // The process ends.
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      int count;
      while ((count = input.read(buffer)) >= 0) {
        output.write(buffer, 0, count);
      }
    } catch (IOException ended) {
      // Both channels are closed below.
    }
    reset(from);
    reset(to);
    sockets.remove(from);
    sockets.remove(to);
  }
}
