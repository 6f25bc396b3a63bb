package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.RequestFingerprint;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/** Computes the fingerprints of callers' requests. */
final class RequestFingerprints {
  /** The first 64 bits of the SHA-256; relays send many fingerprints in one packet. */
  private static final int FINGERPRINT_BYTES = 8;

  private RequestFingerprints() {}

  /** Returns the fingerprint of account, host, method, path with query, and body. */
  static RequestFingerprint of(Optional<ClientAccountId> account, HttpRequest head, ByteBuf body) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      addLine(digest, account.map(ClientAccountId::value).orElse(""));
      addLine(digest, head.headers().get(HttpHeaderNames.HOST, ""));
      addLine(digest, head.method().name());
      addLine(digest, head.uri());
      for (ByteBuffer bytes : body.nioBuffers()) {
        digest.update(bytes);
      }
      return new RequestFingerprint(
          HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }

  private static void addLine(MessageDigest digest, String text) {
    digest.update((text + "\n").getBytes(StandardCharsets.UTF_8));
  }
}
