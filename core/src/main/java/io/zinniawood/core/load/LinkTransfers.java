package io.zinniawood.core.load;

/**
 * Transfers of one relay on the link from one data centre to another.
 *
 * @param link hash of the names of both data centres; see {@link LoadHashes}
 * @param totalMillis time for which they have occupied the link since the start of the relay,
 *     modulo {@value #MODULUS_MILLIS}. A total makes up for lost notices.
 */
public record LinkTransfers(int link, int totalMillis) {
  /** Modulus of the total: more than the transfers of a relay in the 2 s of a valid notice. */
  public static final int MODULUS_MILLIS = 1 << 16;

  /** Checks the total; throws {@link IllegalArgumentException} if it is out of range. */
  public LinkTransfers {
    if (totalMillis < 0 || totalMillis >= MODULUS_MILLIS) {
      throw new IllegalArgumentException("link transfers out of range: " + totalMillis);
    }
  }
}
