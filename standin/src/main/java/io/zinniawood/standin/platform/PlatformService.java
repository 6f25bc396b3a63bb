package io.zinniawood.standin.platform;

import java.util.Locale;

/** Services of the platform; faults and counters are kept for each. */
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
   * Returns the kind of a lower-case name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static PlatformService of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the lower-case name. */
  public String lowerCaseName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
