package io.zinniawood.core.load;

/** Receives transfers of other relays. */
@FunctionalInterface
public interface LinkTransferReceiver {
  /**
   * Records transfers that another relay made since its notice before.
   *
   * @param link hash of the link; see {@link LoadHashes}
   * @param millis time for which they occupy the link, in milliseconds
   */
  void transferred(int link, double millis);
}
