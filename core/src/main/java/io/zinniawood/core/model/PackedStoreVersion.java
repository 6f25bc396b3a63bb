package io.zinniawood.core.model;

/**
 * Versions of table rows packed with the era of the store that gave them out. The store raises its
 * era each time it comes back from a copy, after which it gives the numbers since that copy out
 * again. A version combines both, so that versions of one row rise across restores and none
 * repeats.
 */
public final class PackedStoreVersion {
  /** Highest era that a version can hold. */
  public static final long MAX_ERA = (1L << 31) - 1;

  /** Highest number that a version can hold. */
  public static final long MAX_NUMBER = (1L << 32) - 1;

  private static final int NUMBER_BITS = 32;

  private PackedStoreVersion() {}

  /**
   * Returns the version with a number of an era.
   *
   * @param era era of the store, 0 if it never came back from a copy
   * @param number number that the store gave out, 0 for a row that does not exist
   * @throws IllegalArgumentException if one of them is negative or too large
   */
  public static long of(long era, long number) {
    if (era < 0 || era > MAX_ERA || number < 0 || number > MAX_NUMBER) {
      throw new IllegalArgumentException(
          "era %d or row version %d is out of range".formatted(era, number));
    }
    return (era << NUMBER_BITS) | number;
  }

  /** Returns the era of a version. */
  public static long era(long version) {
    return version >> NUMBER_BITS;
  }

  /** Returns the number that the store gave out for a version. */
  public static long number(long version) {
    return version & MAX_NUMBER;
  }
}
