package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.load.OwnLoad;
import io.zinniawood.core.load.ServiceLoad;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Tells the other relays what this one has in flight, and learns what they have. */
final class LoadExchange {
  /** Minimum time between two lines of the log. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private LoadExchange() {}

  /** Returns the notice to send to a number of relays, if one is due. */
  static Optional<LoadNotice> nextNotice(RelayTurn turn, int receivers) {
    RelayState state = turn.state;
    if (!state.scheduling(SchedulingPart.LOAD_SHARING)) {
      return Optional.empty();
    }
    List<OwnLoad.Service> services = new ArrayList<>();
    for (RoutedService service : state.routes.map(RouteTable::services).orElse(List.of())) {
      if (service.engine().isPresent()
          && state.scheduling(SchedulingPart.LOAD_SHARING, service.name())) {
        List<TrackedEndpoint> endpoints = state.fleet.ofService(service.name());
        services.add(new OwnLoad.Service(service.name(), endpoints));
        state.fleetLoad.ownEndpoints(service.name(), endpoints);
      }
    }
    Optional<LoadNotice> notice = state.ownLoad.nextNotice(services, receivers, turn.nowNanos);
    notice.ifPresent(sent -> log(turn, sent, receivers));
    return notice;
  }

  /** Applies what another relay tells. */
  static void noticeReceived(RelayTurn turn, PeerMessage message) {
    RelayState state = turn.state;
    // A notice that waited during a pause of this process would count as fresh.
    if (state.scheduling(SchedulingPart.LOAD_SHARING)
        && !EndpointHealthChecks.delayedByPause(turn)) {
      state.fleetLoad.noticeReceived(
          message.vm(),
          message.load(),
          turn.nowNanos,
          (link, millis) -> state.linkBacklogs.addTransfer(link, millis, turn.nowNanos));
    }
  }

  private static void log(RelayTurn turn, LoadNotice notice, int receivers) {
    RelayState state = turn.state;
    if (state.loadNoticeLogged
        && turn.nowNanos - state.loadNoticeLoggedNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    state.loadNoticeLogged = true;
    state.loadNoticeLoggedNanos = turn.nowNanos;
    turn.log(
        "load-notice",
        "sequence",
        notice.sequence(),
        "receivers",
        receivers,
        "endpoints",
        notice.services().stream().map(ServiceLoad::endpoints).mapToInt(Collection::size).sum(),
        "links",
        notice.transfers().size(),
        "bytesSent",
        state.ownLoad.sentBytes(),
        "relaysWithFigures",
        state.fleetLoad.relaysWithFigures());
  }
}
