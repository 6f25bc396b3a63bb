package io.zinniawood.standin.service;

/**
 * Settings of the service stand-in.
 *
 * @param port TCP port on loopback, 0 for a free one
 * @param callMillis duration of each call in milliseconds
 */
public record ServiceSettings(int port, long callMillis) {
  /** Returns settings without delay, on a free port. */
  public static ServiceSettings unlimited() {
    return new ServiceSettings(0, 0);
  }
}
