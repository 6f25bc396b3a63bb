package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.limit.EndpointLimits;
import io.zinniawood.core.limit.LimitChange;
import io.zinniawood.core.limit.LimitEntry;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.limit.LimitShares;
import io.zinniawood.core.limit.MemberShares;
import io.zinniawood.core.limit.PermitGift;
import io.zinniawood.core.limit.StatedLimit;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Learns the limits that endpoints name in their answers, tells them to the other relays, and
 * divides them among the relays.
 */
final class LimitExchange {
  /** Time after a restore of the store in which relays write their rows again; they do at once. */
  private static final long ROWS_REWRITTEN_NANOS = TimeUnit.SECONDS.toNanos(10);

  private LimitExchange() {}

  /** Applies what the head of any answer says. */
  static void stated(RelayTurn turn, EndpointIncarnation endpoint, StatedLimit limit) {
    if (limit instanceof StatedLimit.Rate rate) {
      tellChange(
          turn, limits(turn).named(endpoint, rate.requestsPerSecond(), turn.nowNanos), "answer");
    }
  }

  /** Applies what the answer to an open request says. */
  static void answerReceived(RelayTurn turn, RelayEvent.AnswerReceived event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    Optional<TrackedEndpoint> target = open.target.flatMap(turn.state.fleet::find);
    target.ifPresent(
        endpoint ->
            tellChange(
                turn,
                limits(turn)
                    .answered(
                        endpoint.incarnation(),
                        event.answer().limit(),
                        open.sentNanos,
                        turn.nowNanos),
                "answer"));
  }

  private static void tellChange(RelayTurn turn, Optional<LimitChange> change, String source) {
    if (change.isPresent()) {
      log(turn, change.get(), source);
      PeerExchange.send(turn, Optional.empty());
    }
  }

  /** Updates the shares, which are given back when this relay takes no more requests. */
  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    boolean stopping = Lifecycle.refusesNewRequests(turn);
    boolean rowsPerhapsLost =
        StoreEras.perhapsRestored(turn)
            && turn.nowNanos - state.storeEraSeenNanos < ROWS_REWRITTEN_NANOS;
    MemberShares shares =
        state.peers.limitShares(state.parameters.vm(), rowsPerhapsLost, turn.nowNanos);
    if (shares.equals(state.limitShares) && stopping == state.limitSharesGivenBack) {
      return;
    }
    boolean givenBack = stopping && !state.limitSharesGivenBack;
    state.limitShares = shares;
    state.limitSharesGivenBack = stopping;
    limits(turn).divideBy(stopping ? LimitShares.NOTHING : shares, turn.nowNanos);
    turn.log(
        "limit-shares",
        "relays",
        shares.members().size(),
        "agreed",
        shares.agreed(),
        "givenBack",
        stopping,
        "limits",
        limits(turn).named());
    if (givenBack) {
      PeerExchange.send(turn, Optional.empty());
    }
  }

  /** Returns the limits and permits to send next, which take a packet; empty if there are none. */
  static Optional<LimitNotice> noticeOfLimits(RelayTurn turn) {
    List<LimitEntry> entries =
        limits(turn)
            .nextNotice(endpoint -> EndpointStatements.listed(turn, endpoint), turn.nowNanos);
    List<PermitGift> gifts = limits(turn).gifts(turn.nowNanos);
    return entries.isEmpty() && gifts.isEmpty()
        ? Optional.empty()
        : Optional.of(notice(turn, entries, gifts));
  }

  /** Returns a notice that tells among which relays this one divides limits. */
  static LimitNotice notice(RelayTurn turn, List<LimitEntry> entries, List<PermitGift> gifts) {
    RelayState state = turn.state;
    state.limitNoticeSequence++;
    return new LimitNotice(
        state.limitNoticeSequence,
        state.peers.membersDigest(),
        state.limitSharesGivenBack,
        entries,
        gifts);
  }

  /** Applies what another relay tells. */
  static void noticeReceived(RelayTurn turn, PeerMessage message) {
    RelayState state = turn.state;
    LimitNotice notice = message.limits();
    // The ages in a notice that waited during a pause are wrong, and its permits may be used up.
    if (state.peers.repeated(message.vm()) || EndpointHealthChecks.delayedByPause(turn)) {
      return;
    }
    for (LimitEntry entry : notice.entries()) {
      limits(turn)
          .told(message.vm(), entry, turn.nowNanos)
          .ifPresent(change -> log(turn, change, message.vm().value()));
    }
    for (PermitGift gift : notice.gifts()) {
      if (gift.receiver().equals(state.parameters.vm())) {
        limits(turn).receive(gift, turn.nowNanos);
      }
    }
  }

  private static EndpointLimits limits(RelayTurn turn) {
    return turn.state.fleet.limits();
  }

  private static void log(RelayTurn turn, LimitChange change, String source) {
    EndpointIncarnation endpoint = change.endpoint();
    turn.log(
        change.afterPerSecond().isPresent() ? "endpoint-limited" : "endpoint-limit-ended",
        "endpoint",
        endpoint.endpoint().value(),
        "startedMillis",
        endpoint.startedMillis(),
        "requestsPerSecond",
        change.afterPerSecond().orElse(0),
        "before",
        change.beforePerSecond().orElse(0),
        "source",
        source,
        "ownRequestsPerSecond",
        limits(turn)
            .find(endpoint, turn.nowNanos)
            .map(limit -> limit.ownRatePerSecond())
            .orElse(0.0),
        "relays",
        turn.state.limitShares.members().size(),
        "agreed",
        turn.state.limitShares.agreed());
  }
}
