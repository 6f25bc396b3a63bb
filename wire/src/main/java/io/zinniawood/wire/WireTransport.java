package io.zinniawood.wire;

import io.vavr.control.Either;
import io.zinniawood.core.model.NodeAddress;
import java.util.concurrent.CompletableFuture;

/** Opens and accepts connections between the processes of the system. */
public interface WireTransport extends AutoCloseable {
  /** Listens on an address; the port must not be 0. */
  Either<WireError, NodeAddress> listen(NodeAddress address, WireListener listener);

  /**
   * Opens a connection and performs the handshake. The future never completes exceptionally;
   * failures are returned as {@link WireError}. {@link WireListener#onOpened} is called before the
   * future completes.
   */
  CompletableFuture<Either<WireError, WireConnection>> connect(
      NodeAddress address, WireListener listener);

  /** Returns the traffic of all connections since the transport was created. */
  default WireTraffic traffic() {
    return WireTraffic.none();
  }

  /** Closes all connections and listening ports. */
  @Override
  void close();
}
