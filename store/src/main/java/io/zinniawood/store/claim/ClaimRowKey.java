package io.zinniawood.store.claim;

import io.zinniawood.core.model.ClaimKey;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Builds the table key of a claim: {@code claim/<account>/<service>/<SHA-256 of the key>}. */
public final class ClaimRowKey {
  private ClaimRowKey() {}

  /**
   * Returns the table key of a claim. Account and service are percent-encoded so that a slash in
   * either of them cannot map two claims to the same row.
   */
  public static String of(ClaimKey key) {
    return "claim/%s/%s/%s"
        .formatted(
            encode(key.clientAccount().value()),
            encode(key.service().value()),
            sha256Hex(key.key().value()));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private static String sha256Hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("SHA-256 is not available on this Java platform", exception);
    }
  }
}
