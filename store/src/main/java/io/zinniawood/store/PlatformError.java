package io.zinniawood.store;

/** Failure of a call to the platform. */
public sealed interface PlatformError {
  /** Returns an explanation for a person. */
  String detail();

  /**
   * The call was refused or never reached the platform; nothing changed.
   *
   * @param detail explanation for a person
   */
  record Unavailable(String detail) implements PlatformError {}

  /**
   * The response was lost; a write may have taken effect.
   *
   * @param detail explanation for a person
   */
  record ResponseLost(String detail) implements PlatformError {}

  /**
   * The platform refused the call as invalid.
   *
   * @param detail explanation for a person
   */
  record Rejected(String detail) implements PlatformError {}
}
