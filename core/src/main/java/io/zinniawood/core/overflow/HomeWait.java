package io.zinniawood.core.overflow;

/** Expected wait of a new request that stays in its own data centre. */
@FunctionalInterface
public interface HomeWait {
  /**
   * Returns the expected wait in milliseconds.
   *
   * @param home room of the own data centre
   * @param requestTokens tokens of a request of mean size
   */
  double millis(DataCentreRoom home, double requestTokens);
}
