package io.zinniawood.standin.proxy;

/** How the proxy handles new connections. */
public enum NewConnectionPolicy {
  /** They are connected to the target. */
  FORWARD,
  /** They are accepted and reset at once. */
  RESET,
  /** They are accepted, but no bytes are read or sent. */
  HANG
}
