package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class PeersTest {
  private static final VmId SELF = new VmId("self");
  private static final VmId LIVE = new VmId("live");
  private static final NodeAddress ADDRESS = new NodeAddress("10.0.1.1", 7_340);

  private static Map<VmId, PresenceRow> rows(int former) {
    Map<VmId, PresenceRow> rows = new HashMap<>();
    rows.put(LIVE, row(1));
    for (int number = 0; number < former; number++) {
      rows.put(new VmId("former-" + number), row(10 + number));
    }
    return rows;
  }

  private static PresenceRow row(long version) {
    return new PresenceRow(new StoreVersion(StoreEra.UNNAMED, version), Optional.of(ADDRESS));
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static PeerMessage message() {
    return new PeerMessage(
        LIVE,
        StoreEra.UNNAMED,
        true,
        0,
        1,
        0,
        Optional.empty(),
        Optional.empty(),
        QuarantineNotice.EMPTY,
        List.of(),
        LimitNotice.EMPTY,
        LoadNotice.EMPTY);
  }

  // After a start, each relay that had ever existed counted for 30 s, and requests were refused.
  @Test
  void relaysWithoutAnyMessageSoonCountNoMore() {
    Peers peers = new Peers(Optional.of(ADDRESS));
    peers.rowsRead(rows(30), SELF, 0);
    assertThat(peers.count(millis(100)), is(32));
    peers.heard(message(), ADDRESS, millis(2_500));
    assertThat(peers.count(millis(3_000)), is(2));
  }

  // A relay that gets no messages has only the rows to tell how many others there are.
  @Test
  void relayWithoutAddressOfItsOwnCountsRowsUntilTheyLapse() {
    Peers peers = new Peers(Optional.empty());
    peers.rowsRead(rows(30), SELF, 0);
    assertThat(peers.count(millis(29_000)), is(32));
    assertThat(peers.count(millis(30_000)), is(1));
  }
}
