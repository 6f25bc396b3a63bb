package io.zinniawood.ingress;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Open connections to the administration port. The oldest one gives way to a new one, so that
 * connections which are kept open do not shut out the balancer's probe.
 */
public final class AdminConnections {
  /** Far more than the balancers and monitoring systems of a relay keep open. */
  private static final int MAX_CONNECTIONS = 64;

  private final Set<Channel> open = new LinkedHashSet<>();

  /** Adds a connection; must be called on the event loop. */
  public void opened(Channel channel) {
    if (open.size() >= MAX_CONNECTIONS) {
      Channel oldest = open.iterator().next();
      open.remove(oldest);
      oldest.close();
    }
    open.add(channel);
    channel.closeFuture().addListener(closed -> open.remove(channel));
  }
}
