package io.zinniawood.core.relay;

import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Exchanges messages with the other relays, so that each knows what the others know. */
final class PeerExchange {
  /** Interval between messages to each relay. */
  private static final long MESSAGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Minimum time between reads of the presence rows because of an unknown sender. */
  private static final long UNKNOWN_SENDER_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private PeerExchange() {}

  static void tick(RelayTurn turn) {
    int live = turn.state.peers.count(turn.nowNanos);
    if (live != turn.state.loggedLiveRelays) {
      turn.state.loggedLiveRelays = live;
      turn.log("relays-live", "count", live);
    }
    if (turn.state.fleet.listLoaded() && turn.nowNanos - turn.state.nextPeerMessageNanos >= 0) {
      send(turn, Optional.empty());
    }
  }

  /** Sends a message to all other relays. */
  static void send(RelayTurn turn, Optional<SharedRead> read) {
    RelayState state = turn.state;
    state.nextPeerMessageNanos = turn.nowNanos + MESSAGE_INTERVAL_NANOS;
    List<NodeAddress> receivers = state.peers.receivers(turn.nowNanos);
    if (receivers.isEmpty() || state.parameters.peerAddress().isEmpty()) {
      return;
    }
    boolean sharesRead = read.isPresent();
    QuarantineNotice quarantine =
        sharesRead ? QuarantineNotice.EMPTY : state.quarantine.notice(turn.nowNanos);
    List<EndpointIncarnation> leaving = sharesRead ? List.of() : EndpointStatements.notice(turn);
    Optional<LoadNotice> load = LoadExchange.nextNotice(turn, receivers.size());
    // A message with entries of the endpoint list leaves no room for more in its packet, and one
    // with held parts or crashes none for a load notice.
    boolean roomForLoad = !sharesRead && quarantine.isEmpty();
    emit(
        turn,
        receivers,
        read,
        quarantine,
        leaving,
        LimitExchange.notice(turn, List.of(), List.of()),
        load.filter(notice -> roomForLoad).orElse(LoadNotice.EMPTY));
    load.filter(notice -> !roomForLoad)
        .ifPresent(
            notice ->
                emit(
                    turn,
                    receivers,
                    Optional.empty(),
                    QuarantineNotice.EMPTY,
                    List.of(),
                    LimitExchange.notice(turn, List.of(), List.of()),
                    notice));
    if (!sharesRead) {
      LimitExchange.noticeOfLimits(turn)
          .ifPresent(
              limits ->
                  emit(
                      turn,
                      receivers,
                      Optional.empty(),
                      QuarantineNotice.EMPTY,
                      List.of(),
                      limits,
                      LoadNotice.EMPTY));
    }
  }

  private static void emit(
      RelayTurn turn,
      List<NodeAddress> receivers,
      Optional<SharedRead> read,
      QuarantineNotice quarantine,
      List<EndpointIncarnation> leaving,
      LimitNotice limits,
      LoadNotice load) {
    RelayState state = turn.state;
    turn.emit(
        new RelayEffect.SendToPeers(
            receivers,
            new PeerMessage(
                state.parameters.vm(),
                state.storeEra,
                state.failedEndpointReads == 0,
                state.fleet.storeSteadyMillis(turn.nowNanos),
                state.routesVersion(),
                state.routeReads.ageMillis(turn.nowNanos),
                ControllerLease.notice(turn),
                read,
                quarantine,
                leaving,
                limits,
                load)));
  }

  static void messageReceived(RelayTurn turn, RelayEvent.PeerMessageReceived event) {
    RelayState state = turn.state;
    PeerMessage message = event.message();
    if (message.vm().equals(state.parameters.vm())) {
      return;
    }
    boolean unheard = !state.peers.live(message.vm(), turn.nowNanos);
    if (!state.peers.heard(message, event.sender(), turn.nowNanos)) {
      readUnknownSender(turn, event);
      return;
    }
    EndpointStatements.noticeReceived(turn, message);
    LimitExchange.noticeReceived(turn, message);
    LoadExchange.noticeReceived(turn, message);
    if (unheard && (state.quarantine.anyHeld() || StoreEras.perhapsRestored(turn))) {
      // A relay that has just started must know what is held back, and which configuration is in
      // force, before it sends requests.
      send(turn, Optional.empty());
    }
    // The ages in a notice that waited during a pause are wrong; it is sent again soon.
    if (!EndpointHealthChecks.delayedByPause(turn)) {
      CrashWatch.apply(turn, state.quarantine.noticeReceived(message.quarantine(), turn.nowNanos));
    }
    StoreReads.peerRead(turn, message);
    message.lease().ifPresent(lease -> ControllerLease.heard(turn, message.vm(), lease));
  }

  private static void readUnknownSender(RelayTurn turn, RelayEvent.PeerMessageReceived event) {
    if (turn.nowNanos - turn.state.nextUnknownSenderReadNanos < 0) {
      return;
    }
    turn.state.nextUnknownSenderReadNanos = turn.nowNanos + UNKNOWN_SENDER_READ_INTERVAL_NANOS;
    turn.log(
        "peer-unknown", "vm", event.message().vm().value(), "address", event.sender().toString());
    turn.emit(new RelayEffect.ReadLease());
  }
}
