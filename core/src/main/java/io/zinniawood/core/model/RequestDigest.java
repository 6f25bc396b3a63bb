package io.zinniawood.core.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest that tells whether two calls with one idempotency key are the same request. */
public final class RequestDigest {
  private RequestDigest() {}

  /** Returns the SHA-256 of method, path and body, separated by line feeds, in hexadecimal. */
  public static String of(ServiceCall call) {
    MessageDigest sha = newSha256();
    sha.update(
        (call.method() + "\n" + call.pathAndQuery() + "\n").getBytes(StandardCharsets.UTF_8));
    sha.update(call.body().bytes());
    return HexFormat.of().formatHex(sha.digest());
  }

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform provides SHA-256", missing);
    }
  }
}
