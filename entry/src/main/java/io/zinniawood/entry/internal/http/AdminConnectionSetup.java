package io.zinniawood.entry.internal.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.zinniawood.ingress.AdminConnections;
import io.zinniawood.ingress.AdminInputLimit;

/** Prepares connections of the administration port, which has fixed limits and one event loop. */
public final class AdminConnectionSetup implements ConnectionSetup {
  private final AdminConnections connections = new AdminConnections();

  @Override
  public void install(Channel connection) {
    connections.opened(connection);
    connection
        .pipeline()
        .addFirst(new AdminInputLimit())
        .replace(DECODER, DECODER, new HttpRequestDecoder(AdminInputLimit.decoderConfig()));
  }
}
