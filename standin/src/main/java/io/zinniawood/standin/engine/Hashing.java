package io.zinniawood.standin.engine;

import java.nio.charset.StandardCharsets;

/** Hash functions of the deterministic model. */
final class Hashing {
  /** FNV-1a offset basis and prime for 64 bits. */
  private static final long FNV_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Mixes two values; the result depends on their order. */
  static long mix(long left, long right) {
    long value = Long.rotateLeft(left, 23) * 0x9e3779b97f4a7c15L + right;
    value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
    return value ^ (value >>> 31);
  }

  static long ofBytes(byte[] bytes) {
    long hash = FNV_BASIS;
    for (byte element : bytes) {
      hash = (hash ^ (element & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  static long ofText(String text) {
    return ofBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
