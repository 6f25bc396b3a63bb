package io.zinniawood.wire;

import java.nio.file.Path;

/**
 * Certificates for mutual TLS. Both sides of a connection must present a certificate that the
 * trusted certificates sign.
 *
 * @param certificateChain PEM file of the own certificate chain
 * @param privateKey PEM file of the own private key (PKCS#8)
 * @param trustedCertificates PEM file of the signing certificates
 */
public record WireTls(Path certificateChain, Path privateKey, Path trustedCertificates) {}
