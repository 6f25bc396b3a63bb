package io.zinniawood.standin.proxy;

import io.netty.channel.Channel;

/** One connection through the proxy. */
final class Link {
  private final Channel client;
  private final Channel target;
  private final Pump toTarget;
  private final Pump toClient;

  Link(Channel client, Channel target, Pump toTarget, Pump toClient) {
    this.client = client;
    this.target = target;
    this.toTarget = toTarget;
    this.toClient = toClient;
  }

  void silence(Direction direction) {
    client.eventLoop().execute(() -> pump(direction).silence());
  }

  /** Resets one side; the other side stays open and never hears of it. */
  void halfOpen(Direction towardsClosedSide) {
    client
        .eventLoop()
        .execute(
            () -> {
              pump(towardsClosedSide).silence();
              pump(towardsClosedSide == Direction.TO_TARGET
                      ? Direction.TO_CLIENT
                      : Direction.TO_TARGET)
                  .abandonSource();
            });
  }

  void cut() {
    client
        .eventLoop()
        .execute(
            () -> {
              Pump.reset(client);
              Pump.reset(target);
            });
  }

  private Pump pump(Direction direction) {
    return direction == Direction.TO_TARGET ? toTarget : toClient;
  }
}
