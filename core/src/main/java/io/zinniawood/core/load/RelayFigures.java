package io.zinniawood.core.load;

import java.util.HashMap;
import java.util.Map;

/** What one start of another relay told in its notices. */
final class RelayFigures {
  /** By hash of the service. */
  final Map<Integer, ServiceFigures> services = new HashMap<>();

  private final Map<Integer, Integer> transferMillisByLink = new HashMap<>();
  private final int startNumber;
  private final int earlierStartNumber;
  private long sequence;

  /**
   * Creates the figures of a start.
   *
   * @param earlierStartNumber start number of the process before; the same one if it is unknown
   */
  RelayFigures(int startNumber, int earlierStartNumber) {
    this.startNumber = startNumber;
    this.earlierStartNumber = earlierStartNumber;
  }

  int startNumber() {
    return startNumber;
  }

  /** Returns whether a notice is from before the newest one; datagrams may overtake each other. */
  boolean outdates(LoadNotice notice) {
    return notice.startNumber() == startNumber
        ? notice.sequence() <= sequence
        : notice.startNumber() == earlierStartNumber;
  }

  void sequenceHeard(long heardSequence) {
    sequence = heardSequence;
  }

  /**
   * Returns the time that transfers occupied a link since the notice before, in milliseconds; 0 for
   * the first notice, as its total may be of any age.
   */
  int transferMillisSince(LinkTransfers transfers) {
    Integer before = transferMillisByLink.put(transfers.link(), transfers.totalMillis());
    return before == null
        ? 0
        : Math.floorMod(transfers.totalMillis() - before, LinkTransfers.MODULUS_MILLIS);
  }
}
