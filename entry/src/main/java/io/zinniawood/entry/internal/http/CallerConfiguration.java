package io.zinniawood.entry.internal.http;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.model.Payload;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

/**
 * Accepted configuration with the digests of all API keys, for use by the HTTP threads.
 *
 * @param configuration accepted configuration
 * @param keys digest and client account of each API key
 */
public record CallerConfiguration(AcceptedConfiguration configuration, Vector<AccountKey> keys) {
  /**
   * Digest of one API key.
   *
   * @param sha256Hex SHA-256 digest in lower-case hexadecimal, as ASCII bytes
   * @param account client account of the key
   */
  public record AccountKey(Payload sha256Hex, ClientAccount account) {}

  /** Creates the configuration of the HTTP threads from an accepted one. */
  public static CallerConfiguration of(AcceptedConfiguration accepted) {
    Vector<AccountKey> keys =
        accepted
            .cluster()
            .clientAccounts()
            .values()
            .toVector()
            .flatMap(account -> account.keySha256Hex().map(hex -> key(hex, account)));
    return new CallerConfiguration(accepted, keys);
  }

  private static AccountKey key(String hex, ClientAccount account) {
    byte[] ascii = hex.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.US_ASCII);
    return new AccountKey(Payload.wrap(ascii), account);
  }

  ClusterConfiguration cluster() {
    return configuration.cluster();
  }

  /**
   * Returns the client account of an API key. Compares it with every configured key in constant
   * time, so that the duration reveals neither the position nor the digits of a match.
   */
  Option<ClientAccount> authenticate(String key) {
    byte[] digest = sha256Hex(key).getBytes(StandardCharsets.US_ASCII);
    Option<ClientAccount> found = Option.none();
    for (AccountKey candidate : keys) {
      if (MessageDigest.isEqual(candidate.sha256Hex().bytes(), digest)) {
        found = Option.some(candidate.account());
      }
    }
    return found;
  }

  private static String sha256Hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform provides SHA-256", missing);
    }
  }
}
