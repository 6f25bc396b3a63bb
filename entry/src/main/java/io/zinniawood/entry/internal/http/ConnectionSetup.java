package io.zinniawood.entry.internal.http;

import io.netty.channel.Channel;

/** Adds the handlers that limit what a connection holds to Jooby's handlers. */
@FunctionalInterface
public interface ConnectionSetup {
  /** Name of the handler that decodes HTTP requests in Jooby's pipeline. */
  String DECODER = "decoder";

  /** Name of the handler that passes decoded requests to Jooby's routes. */
  String JOOBY = "handler";

  /** Prepares a connection; called on its event loop before its first byte is read. */
  void install(Channel connection);
}
