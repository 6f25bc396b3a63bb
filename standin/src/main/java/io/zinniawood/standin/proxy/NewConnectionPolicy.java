package io.zinniawood.standin.proxy;

/** What the proxy does with new connections. */
public enum NewConnectionPolicy {
  /** They are connected to the target. */
  FORWARD,
  /** They are reset at once. */
  RESET,
  /** They are accepted and stay silent. */
  HANG
}
