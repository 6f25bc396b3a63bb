package io.zinniawood.wire.internal;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.vavr.control.Either;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireTls;
import javax.net.ssl.SSLException;

/**
 * TLS contexts for both roles of this process in a connection.
 *
 * @param client context for connections that this process opens
 * @param server context for connections that this process accepts
 */
record TlsContexts(SslContext client, SslContext server) {
  /** Reads the certificates; in both roles the peer must present a trusted certificate. */
  static Either<WireError, TlsContexts> load(WireTls tls) {
    try {
      SslContext client =
          SslContextBuilder.forClient()
              .sslProvider(SslProvider.JDK)
              .keyManager(tls.certificateChain().toFile(), tls.privateKey().toFile())
              .trustManager(tls.trustedCertificates().toFile())
              // Peers have IP addresses, not host names, so only the certificate signer is checked.
              .endpointIdentificationAlgorithm(null)
              .build();
      SslContext server =
          SslContextBuilder.forServer(tls.certificateChain().toFile(), tls.privateKey().toFile())
              .sslProvider(SslProvider.JDK)
              .trustManager(tls.trustedCertificates().toFile())
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      return Either.right(new TlsContexts(client, server));
    } catch (SSLException | IllegalArgumentException invalid) {
      return Either.left(
          new WireError(
              "cannot load TLS certificate chain %s, private key %s and trusted certificates %s: %s"
                  .formatted(
                      tls.certificateChain(),
                      tls.privateKey(),
                      tls.trustedCertificates(),
                      invalid.getMessage())));
    }
  }
}
