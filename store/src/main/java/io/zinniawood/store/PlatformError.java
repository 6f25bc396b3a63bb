package io.zinniawood.store;

/** Failure of a call to the platform. */
public sealed interface PlatformError {
  /** Returns a human-readable description of the failure. */
  String detail();

  /**
   * The platform refused the call or did not receive it; no state changed.
   *
   * @param detail human-readable description
   */
  record Unavailable(String detail) implements PlatformError {}

  /**
   * No valid response was received; a write may have taken effect.
   *
   * @param detail human-readable description
   */
  record ResponseLost(String detail) implements PlatformError {}

  /**
   * The platform rejected the call as invalid.
   *
   * @param detail human-readable description
   */
  record Rejected(String detail) implements PlatformError {}
}
