package io.zinniawood.load;

import java.util.SplittableRandom;

/** Generates the times between arrivals of a Poisson process. */
final class PoissonArrivals {
  private final double requestsPerSecond;
  private final SplittableRandom random;

  PoissonArrivals(double requestsPerSecond, long seed) {
    this.requestsPerSecond = requestsPerSecond;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the time to the next arrival in nanoseconds. */
  long nextGapNanos() {
    double seconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
    return (long) (seconds * 1e9);
  }
}
