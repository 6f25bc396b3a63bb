package io.zinniawood.standin.proxy;

/** Direction of bytes through the proxy. */
public enum Direction {
  /** From the client to the target. */
  TO_TARGET,
  /** From the target to the client. */
  TO_CLIENT
}
