package io.zinniawood.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/**
 * Creates sockets with TCP_NODELAY, which OkHttp does not set. Without it the last segment of a
 * request waits for the acknowledgement of the earlier segments, which the server may delay by up
 * to 40 ms.
 */
final class NoDelaySocketFactory extends SocketFactory {
  @Override
  public Socket createSocket() throws IOException {
    return setNoDelay(new Socket());
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return setNoDelay(new Socket(host, port));
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return setNoDelay(new Socket(host, port, localHost, localPort));
  }

  @Override
  public Socket createSocket(InetAddress host, int port) throws IOException {
    return setNoDelay(new Socket(host, port));
  }

  @Override
  public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return setNoDelay(new Socket(host, port, localHost, localPort));
  }

  private static Socket setNoDelay(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    return socket;
  }
}
