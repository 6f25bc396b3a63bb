package io.zinniawood.config.settings;

import java.nio.file.Path;

/**
 * Certificates for TLS connections between processes of the system.
 *
 * @param certificateChain PEM file of this process's certificate chain
 * @param privateKey PEM file of its private key
 * @param trustedCertificates PEM file of the certificates that sign peers
 */
public record TlsSettings(Path certificateChain, Path privateKey, Path trustedCertificates) {}
