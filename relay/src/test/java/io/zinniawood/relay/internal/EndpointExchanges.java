package io.zinniawood.relay.internal;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.SendOptions;
import java.util.Optional;

/** Exchanges with an endpoint whose caller is not part of the test. */
final class EndpointExchanges {
  private EndpointExchanges() {}

  static EndpointExchange create(long limitMillis, boolean streaming) {
    return new EndpointExchange(
        null, 1, new NodeAddress("10.0.0.1", 80), options(limitMillis, streaming));
  }

  /** Returns options of a request to an endpoint {@code e} without an account or a path. */
  static SendOptions options(long limitMillis, boolean streaming) {
    return new SendOptions(
        new EndpointId("e"),
        limitMillis,
        Optional.empty(),
        Optional.empty(),
        0,
        SendOptions.ConnectionUse.ANY,
        streaming,
        SendOptions.DEFAULT_URGENCY);
  }
}
