package io.zinniawood.core.id;

/** 64-bit hashes that are equal on every node and in every run. */
public final class Hashing {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Returns the hash of a text (FNV-1a, finished by a 64-bit mixer). */
  public static long of(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns the hash of an ordered pair of hashes. */
  public static long combine(long first, long second) {
    return mix(first * 31 + second);
  }

  /** Mixes all bits of a value (the finisher of SplitMix64). */
  public static long mix(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Returns the upper 53 bits of a hash as a number in [0, 1). */
  public static double toUnitInterval(long hash) {
    return (hash >>> 11) * 0x1.0p-53;
  }
}
