package io.zinniawood.wire;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.Generation;
import io.zinniawood.wire.internal.NettyWireTransport;
import java.util.function.Supplier;

/** Factory of wire transports. */
public final class WireTransports {
  private WireTransports() {}

  /**
   * Creates a transport over TCP.
   *
   * @param self identity of this process
   * @param generation supplies the current configuration generation of this process
   * @param timing timeouts and probe intervals
   * @param tls certificates, none for plain TCP
   * @param memoryBytes maximum of incomplete frames and unsent messages of all connections in
   *     bytes; the largest frame needs 12 MiB
   * @param threads number of I/O threads, at least 1
   * @return the transport, or an error if the certificates cannot be read
   */
  public static Either<WireError, WireTransport> overTcp(
      WirePeer self,
      Supplier<Generation> generation,
      WireTiming timing,
      Option<WireTls> tls,
      long memoryBytes,
      int threads) {
    return NettyWireTransport.create(self, generation, timing, tls, memoryBytes, threads);
  }
}
