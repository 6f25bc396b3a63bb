package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.route.ApiKeyHolder;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.ServiceShare;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Takes a request in: route, key, deadline, service. */
final class Arrivals {
  /** Time after which a caller may come back while this relay knows no routes. */
  private static final long STARTING_RETRY_MILLIS = 1_000;

  /** Time after which a caller may come back on a new connection, which leads to another relay. */
  private static final long DRAINING_RETRY_MILLIS = 200;

  private Arrivals() {}

  static void arrived(RelayTurn turn, RelayEvent.RequestArrived event) {
    turn.state.requestSeen = true;
    CallerRequest request = event.request();
    if (turn.state.routes.isEmpty()) {
      refuse(turn, event, OwnAnswer.notRun("starting", STARTING_RETRY_MILLIS));
      return;
    }
    if (Lifecycle.drainingLong(turn)) {
      refuse(turn, event, OwnAnswer.notRun("draining", DRAINING_RETRY_MILLIS));
      return;
    }
    RouteTable routes = turn.state.routes.get();
    Optional<Route> route = routes.match(request.host(), request.path());
    if (route.isEmpty()) {
      refuse(turn, event, OwnAnswer.noRoute());
      return;
    }
    Optional<ApiKeyHolder> holder = request.apiKey().flatMap(routes::accountByKey);
    if (routes.keysRequired() && !route.get().anonymousAllowed() && holder.isEmpty()) {
      refuse(turn, event, OwnAnswer.unknownKey());
      return;
    }
    if (request.id().isEmpty()) {
      refuse(turn, event, OwnAnswer.malformed());
      return;
    }
    admit(turn, event, route.get(), holder);
  }

  private static void admit(
      RelayTurn turn, RelayEvent.RequestArrived event, Route route, Optional<ApiKeyHolder> holder) {
    CallerRequest request = event.request();
    ServiceShare share = route.selectShare(turn.state.random.nextLong());
    long limitMillis =
        Math.min(route.timeoutMillis(), request.deadlineMillis().orElse(Long.MAX_VALUE));
    int priority =
        holder.map(ApiKeyHolder::priority).filter(rank -> rank >= 0).orElse(route.priority());
    Optional<ClientAccountId> account =
        route.anonymousAllowed() ? Optional.empty() : holder.map(ApiKeyHolder::account);
    OpenRequest open =
        new OpenRequest(
            event.id(),
            request,
            route,
            share.service(),
            account,
            priority,
            turn.nowNanos,
            turn.nowNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis));
    turn.state.open.put(open.id, open);
    turn.state.retryBudget.requested(open.service, turn.nowNanos);
    Waiting.admit(turn, open);
  }

  private static void refuse(RelayTurn turn, RelayEvent.RequestArrived event, OwnAnswer answer) {
    turn.log(
        "request-refused",
        "request",
        event.request().id().map(Object::toString).orElse("-"),
        "status",
        answer.status(),
        "reason",
        answer.reason(),
        "routesVersion",
        turn.state.routesVersion());
    turn.emit(new RelayEffect.Answer(event.id(), answer));
  }
}
