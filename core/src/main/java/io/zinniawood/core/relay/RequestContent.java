package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.Optional;

/** Content of a request, which is read only if an endpoint crashed under some request. */
@FunctionalInterface
public interface RequestContent {
  /**
   * Returns the fingerprint of host, method, path with query, and body, as sent by a client
   * account.
   *
   * @param account client account; empty for an anonymous caller
   */
  RequestFingerprint fingerprint(Optional<ClientAccountId> account);
}
