package io.zinniawood.core.relay;

import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.limit.MemberShares;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The other relays. Their presence rows in the store give their addresses; the messages that they
 * send show that they live.
 */
final class Peers {
  /** Time without a message after which a relay counts as gone: eight message intervals. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Time without a new version of its row after which a relay gets no messages any more. */
  private static final long ABSENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time after which a relay whose row was found must have sent a message if it lives. */
  private static final long FIRST_MESSAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Maximum number of relays that receive messages; bounds the traffic between relays. */
  private static final int MAX_RECEIVERS = 64;

  /** Time without a message after which a relay may have no share of limits any more. */
  private static final long MEMBER_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time without a new version of its row after which a relay does not write it any more. */
  private static final long ROW_LAPSE_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Maximum age of a read of the rows that shows which relays do not write theirs any more. */
  private static final long MAX_READ_AGE_NANOS = TimeUnit.SECONDS.toNanos(12);

  /**
   * Time for which a relay still counts this one after its last message. The difference to {@link
   * #MEMBER_SILENCE_NANOS} covers messages that got lost in one direction only.
   */
  private static final long AGREEMENT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Time without a change of the members after which this relay takes its whole share. */
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Optional<NodeAddress> ownAddress;
  private final Map<VmId, Peer> peersByVm = new HashMap<>();
  private boolean rowsRead;
  private long rowsReadNanos;
  private Optional<StoreVersion> ownRowVersion = Optional.empty();
  private long ownRowChangedNanos;
  private Set<VmId> members = Set.of();
  private long membersDigest = MemberShares.digest(members);
  private long membersChangedNanos;

  private static final class Peer {
    final long foundNanos;
    Optional<NodeAddress> address = Optional.empty();
    Optional<StoreVersion> rowVersion = Optional.empty();
    long rowChangedNanos;
    boolean heard;
    long heardNanos;
    boolean storeAvailable;
    long routesVersion;
    LimitNotice limits = LimitNotice.EMPTY;
    boolean limitsRepeated;

    Peer(long foundNanos) {
      this.foundNanos = foundNanos;
    }
  }

  /**
   * Creates a view without other relays.
   *
   * @param ownAddress address at which this relay receives messages; empty if it receives none
   */
  Peers(Optional<NodeAddress> ownAddress) {
    this.ownAddress = ownAddress;
  }

  /** Applies the presence rows; silent relays without a row are removed. */
  void rowsRead(Map<VmId, PresenceRow> rows, VmId self, long nowNanos) {
    rowsRead = true;
    rowsReadNanos = nowNanos;
    Optional<StoreVersion> ownVersion =
        Optional.ofNullable(rows.get(self)).map(PresenceRow::version);
    if (!ownVersion.equals(ownRowVersion)) {
      ownRowVersion = ownVersion;
      ownRowChangedNanos = nowNanos;
    }
    rows.forEach(
        (vm, row) -> {
          if (!vm.equals(self)) {
            Peer peer = peersByVm.computeIfAbsent(vm, id -> new Peer(nowNanos));
            peer.address = row.peerAddress();
            if (!peer.rowVersion.equals(Optional.of(row.version()))) {
              peer.rowVersion = Optional.of(row.version());
              peer.rowChangedNanos = nowNanos;
            }
          }
        });
    // The row of a live relay may be missing if the store came back from a copy.
    peersByVm.forEach(
        (vm, peer) -> {
          if (!rows.containsKey(vm) && peer.rowVersion.isPresent()) {
            peer.rowVersion = Optional.empty();
            peer.rowChangedNanos = nowNanos;
          }
        });
    peersByVm
        .entrySet()
        .removeIf(
            peer ->
                !rows.containsKey(peer.getKey())
                    && !alive(peer.getValue(), nowNanos)
                    && !(peer.getValue().heard && sharesLimits(peer.getValue(), nowNanos)));
  }

  /**
   * Records a message.
   *
   * @return whether the sender is a relay whose presence row lists that address
   */
  boolean heard(PeerMessage message, NodeAddress from, long nowNanos) {
    Peer peer = peersByVm.get(message.vm());
    if (peer == null || !peer.address.equals(Optional.of(from))) {
      return false;
    }
    peer.heard = true;
    peer.heardNanos = nowNanos;
    peer.storeAvailable = message.storeAvailable();
    peer.routesVersion = message.routesVersion();
    peer.limitsRepeated = message.limits().sequence() == peer.limits.sequence();
    peer.limits = message.limits();
    return true;
  }

  /** Returns whether the last message of a relay was a copy of the one before. */
  boolean repeated(VmId vm) {
    Peer peer = peersByVm.get(vm);
    return peer != null && peer.limitsRepeated;
  }

  /**
   * Returns how the limits of endpoints are divided. A relay that stops gives its share back. One
   * that falls silent keeps it until it must have noticed that the others do not hear it, and until
   * the store shows that it does not write its row either.
   *
   * @param rowsPerhapsLost whether rows may be missing because the store came back from a copy
   */
  MemberShares limitShares(VmId self, boolean rowsPerhapsLost, long nowNanos) {
    Set<VmId> present = members(self, nowNanos);
    if (!present.equals(members)) {
      members = present;
      membersDigest = MemberShares.digest(members);
      membersChangedNanos = nowNanos;
    }
    boolean agreed =
        ownRowVersion.isPresent()
            && !rowsPerhapsLost
            && nowNanos - membersChangedNanos >= SETTLE_NANOS
            && peersByVm.entrySet().stream()
                .filter(entry -> members.contains(entry.getKey()))
                .allMatch(entry -> agrees(entry.getValue(), nowNanos));
    return new MemberShares(self, members, agreed);
  }

  /** Returns the hash of the members among which limits were divided last. */
  long membersDigest() {
    return membersDigest;
  }

  private Set<VmId> members(VmId self, long nowNanos) {
    if (!rowsRead) {
      return Set.of();
    }
    Set<VmId> present = new HashSet<>();
    present.add(self);
    peersByVm.forEach(
        (vm, peer) -> {
          if (sharesLimits(peer, nowNanos)) {
            present.add(vm);
          }
        });
    return present;
  }

  private boolean sharesLimits(Peer peer, long nowNanos) {
    boolean heard = peer.heard && nowNanos - peer.heardNanos < MEMBER_SILENCE_NANOS;
    boolean rowLapsed =
        storeCurrent(nowNanos) && nowNanos - peer.rowChangedNanos >= ROW_LAPSE_NANOS;
    return !peer.limits.stopping() && (heard || !rowLapsed);
  }

  /** Returns whether the rows were read recently and show what this relay writes. */
  private boolean storeCurrent(long nowNanos) {
    return rowsRead
        && nowNanos - rowsReadNanos < MAX_READ_AGE_NANOS
        && ownRowVersion.isPresent()
        && nowNanos - ownRowChangedNanos < ROW_LAPSE_NANOS;
  }

  private boolean agrees(Peer peer, long nowNanos) {
    return peer.heard
        && nowNanos - peer.heardNanos < AGREEMENT_NANOS
        && peer.limits.membersDigest() == membersDigest;
  }

  /** Returns the addresses of the relays that receive messages. */
  List<NodeAddress> receivers(long nowNanos) {
    List<NodeAddress> addresses = new ArrayList<>();
    for (Peer peer : peersByVm.values()) {
      boolean present = alive(peer, nowNanos) || nowNanos - peer.rowChangedNanos < ABSENCE_NANOS;
      if (present && peer.address.isPresent() && addresses.size() < MAX_RECEIVERS) {
        addresses.add(peer.address.get());
      }
    }
    return addresses;
  }

  /** Returns the number of live relays that can read the store and come before this one by id. */
  int readersBefore(VmId self, long nowNanos) {
    int readers = 0;
    for (Map.Entry<VmId, Peer> entry : peersByVm.entrySet()) {
      Peer peer = entry.getValue();
      if (alive(peer, nowNanos)
          && peer.storeAvailable
          && entry.getKey().value().compareTo(self.value()) < 0) {
        readers++;
      }
    }
    return readers;
  }

  /** Returns the newest version of the routing table that a live relay applies; 0 if none. */
  long newestRoutesVersion(long nowNanos) {
    return peersByVm.values().stream()
        .filter(peer -> alive(peer, nowNanos))
        .mapToLong(peer -> peer.routesVersion)
        .max()
        .orElse(0);
  }

  /** Returns whether each relay that receives messages has sent one. */
  boolean allHeard() {
    return peersByVm.values().stream().allMatch(peer -> peer.heard || peer.address.isEmpty());
  }

  /** Returns whether a message of the relay was received recently. */
  boolean live(VmId vm, long nowNanos) {
    Peer peer = peersByVm.get(vm);
    return peer != null && alive(peer, nowNanos);
  }

  /** Returns whether this relay is the first of the live ones by id. */
  boolean firstOfLive(VmId self, long nowNanos) {
    return peersByVm.entrySet().stream()
        .noneMatch(
            entry ->
                alive(entry.getValue(), nowNanos)
                    && entry.getKey().value().compareTo(self.value()) < 0);
  }

  /** Returns the number of live relays, including this one. */
  int count(long nowNanos) {
    int live = 1;
    for (Peer peer : peersByVm.values()) {
      live += present(peer, nowNanos) ? 1 : 0;
    }
    return live;
  }

  /**
   * Returns whether a relay lives. The row of one that has gone stays in the store, so a row alone
   * says little where relays exchange messages.
   */
  private boolean present(Peer peer, long nowNanos) {
    if (peer.heard) {
      return alive(peer, nowNanos);
    }
    boolean wouldBeHeard = ownAddress.isPresent() && peer.address.isPresent();
    return nowNanos - peer.rowChangedNanos < ABSENCE_NANOS
        && (!wouldBeHeard || nowNanos - peer.foundNanos < FIRST_MESSAGE_NANOS);
  }

  private static boolean alive(Peer peer, long nowNanos) {
    return peer.heard && nowNanos - peer.heardNanos < SILENCE_NANOS;
  }
}
