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
    onEventLoop(() -> pump(direction).silence());
  }

  /** Resets one side; the other side stays open and never hears of it. */
  void halfOpen(Direction towardsClosedSide) {
    onEventLoop(
        () -> {
          pump(towardsClosedSide).silence();
          pump(towardsClosedSide == Direction.TO_TARGET ? Direction.TO_CLIENT : Direction.TO_TARGET)
              .abandonSource();
        });
  }

  void cut() {
    onEventLoop(
        () -> {
          Pump.reset(client);
          Pump.reset(target);
        });
  }

  /** Runs the task and waits for its end, so that a fault is in force when its switch returns. */
  private void onEventLoop(Runnable task) {
    client.eventLoop().submit(task).syncUninterruptibly();
  }

  private Pump pump(Direction direction) {
    return direction == Direction.TO_TARGET ? toTarget : toClient;
  }
}
