package io.zinniawood.core.limit;

import java.util.List;

/**
 * What a process tells the others about the limits of endpoints.
 *
 * @param sequence number that differs between a message and the one before
 * @param membersDigest hash of the members among which the sender divides limits
 * @param stopping whether the sender is about to stop and has given its shares back
 * @param entries limits that the sender knows; some of them if there are many
 * @param gifts permits that the sender gives to other processes
 */
public record LimitNotice(
    long sequence,
    long membersDigest,
    boolean stopping,
    List<LimitEntry> entries,
    List<PermitGift> gifts) {
  /** Notice that tells nothing. */
  public static final LimitNotice EMPTY = new LimitNotice(0, 0, false, List.of(), List.of());

  /** Makes unmodifiable copies of the lists. */
  public LimitNotice {
    entries = List.copyOf(entries);
    gifts = List.copyOf(gifts);
  }
}
