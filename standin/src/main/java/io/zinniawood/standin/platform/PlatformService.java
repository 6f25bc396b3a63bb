package io.zinniawood.standin.platform;

import java.util.Locale;

/** Services of the platform; each has its own faults and counters. */
public enum PlatformService {
  /** The table. */
  TABLE,
  /** The object store. */
  OBJECTS,
  /** The VM list. */
  VMS,
  /** The weight store. */
  WEIGHTS;

  /**
   * Returns the service with the given lower-case name.
   *
   * @throws IllegalArgumentException if there is no such service
   */
  public static PlatformService of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the lower-case name. */
  public String lowerCaseName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
