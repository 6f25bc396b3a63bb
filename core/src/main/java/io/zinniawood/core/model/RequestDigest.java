package io.zinniawood.core.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest that detects an idempotency key that is used again for another call. */
public final class RequestDigest {
  private RequestDigest() {}

  /**
   * Returns the SHA-256 of method, path with query, and body in lower-case hexadecimal. Method and
   * path end with a line feed, which neither can contain.
   */
  public static String of(ServiceCall call) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update((call.method() + "\n").getBytes(StandardCharsets.UTF_8));
      digest.update((call.pathAndQuery() + "\n").getBytes(StandardCharsets.UTF_8));
      digest.update(call.body().bytes());
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
