package io.zinniawood.dist.soak;

import java.util.Random;

/**
 * Form of a request.
 *
 * @param get whether it is a GET without a body
 * @param limitMillis value of {@code Deadline-Ms}
 */
record SoakRequest(SoakCaller.RequestKind kind, boolean get, int limitMillis) {
  private static final int LONG_LIMIT_MILLIS = 4_000;
  private static final int[] LIMITS_MILLIS = {400, 1_500, LONG_LIMIT_MILLIS, LONG_LIMIT_MILLIS};

  /** Returns a POST with a long time limit. */
  static SoakRequest post(SoakCaller.RequestKind kind) {
    return new SoakRequest(kind, false, LONG_LIMIT_MILLIS);
  }

  /** Returns a request of a random form; half of the plain ones are GETs. */
  static SoakRequest random(Random random) {
    SoakCaller.RequestKind[] kinds = SoakCaller.RequestKind.values();
    SoakCaller.RequestKind kind = kinds[random.nextInt(kinds.length)];
    boolean get = kind != SoakCaller.RequestKind.ASK && random.nextBoolean();
    return new SoakRequest(kind, get, LIMITS_MILLIS[random.nextInt(LIMITS_MILLIS.length)]);
  }
}
