package io.zinniawood.standin.proxy;

import io.netty.channel.Channel;

/** A connection from a client to the target through the proxy. */
final class ProxiedConnection {
  private final Channel client;
  private final Channel target;
  private final ByteForwarder toTarget;
  private final ByteForwarder toClient;

  ProxiedConnection(
      Channel client, Channel target, ByteForwarder toTarget, ByteForwarder toClient) {
    this.client = client;
    this.target = target;
    this.toTarget = toTarget;
    this.toClient = toClient;
  }

  void stopForwarding(Direction direction) {
    runOnEventLoop(() -> forwarder(direction).stopForwarding());
  }

  /** Resets one side; the other side stays open and sees no close. */
  void halfOpen(Direction towardsResetSide) {
    runOnEventLoop(
        () -> {
          forwarder(towardsResetSide).stopForwarding();
          forwarder(
                  towardsResetSide == Direction.TO_TARGET
                      ? Direction.TO_CLIENT
                      : Direction.TO_TARGET)
              .resetSource();
        });
  }

  void reset() {
    runOnEventLoop(
        () -> {
          ByteForwarder.reset(client);
          ByteForwarder.reset(target);
        });
  }

  /** Runs the task and waits for its end, so that a fault is in effect when the caller returns. */
  private void runOnEventLoop(Runnable task) {
    client.eventLoop().submit(task).syncUninterruptibly();
  }

  private ByteForwarder forwarder(Direction direction) {
    return direction == Direction.TO_TARGET ? toTarget : toClient;
  }
}
