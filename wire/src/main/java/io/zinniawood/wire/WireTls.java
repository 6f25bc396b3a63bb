package io.zinniawood.wire;

import java.nio.file.Path;

/**
 * Certificate files for mutual TLS. Both sides of a connection must present a certificate signed by
 * one of the trusted certificates.
 *
 * @param certificateChain PEM file with the certificate chain of this process
 * @param privateKey PEM file with the private key of this process (PKCS#8)
 * @param trustedCertificates PEM file with the trusted signing certificates
 */
public record WireTls(Path certificateChain, Path privateKey, Path trustedCertificates) {}
