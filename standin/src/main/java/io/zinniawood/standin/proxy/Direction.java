package io.zinniawood.standin.proxy;

/** Direction in which the proxy forwards bytes. */
public enum Direction {
  /** From the client to the target. */
  TO_TARGET,
  /** From the target to the client. */
  TO_CLIENT
}
