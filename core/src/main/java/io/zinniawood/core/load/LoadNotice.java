package io.zinniawood.core.load;

import java.util.List;

/**
 * What a relay tells the others about its requests in flight.
 *
 * @param startNumber number that differs between two starts of the relay
 * @param sequence number that increases with each notice; 0 if there is no notice
 * @param services load by service
 * @param transfers transfers on links that changed since an earlier notice
 */
public record LoadNotice(
    int startNumber, long sequence, List<ServiceLoad> services, List<LinkTransfers> transfers) {
  /** Notice that tells nothing. */
  public static final LoadNotice EMPTY = new LoadNotice(0, 0, List.of(), List.of());

  /** Makes unmodifiable copies of the lists. */
  public LoadNotice {
    services = List.copyOf(services);
    transfers = List.copyOf(transfers);
  }

  /** Returns whether there is no notice. */
  public boolean isEmpty() {
    return sequence == 0;
  }
}
