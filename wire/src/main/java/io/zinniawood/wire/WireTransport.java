package io.zinniawood.wire;

import io.vavr.control.Either;
import io.zinniawood.core.model.NodeAddress;
import java.util.concurrent.CompletableFuture;

/** Transport between the system's own processes. */
public interface WireTransport extends AutoCloseable {
  /** Listens on an address; port 0 of the settings is not allowed. */
  Either<WireError, NodeAddress> listen(NodeAddress address, WireListener listener);

  /**
   * Opens a connection and completes the handshake. The future completes normally; a failure is a
   * value. {@link WireListener#onOpened} is called before the future completes.
   */
  CompletableFuture<Either<WireError, WireConnection>> connect(
      NodeAddress address, WireListener listener);

  /** Returns the traffic of all connections since the start. */
  default WireTraffic traffic() {
    return WireTraffic.none();
  }

  /** Closes all connections and ports. */
  @Override
  void close();
}
