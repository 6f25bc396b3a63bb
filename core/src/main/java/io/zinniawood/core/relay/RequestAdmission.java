package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.route.ApiKeyHolder;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.ServiceShare;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Validates new requests, matches them to a route and assigns account, deadline and service. */
final class RequestAdmission {
  /** Retry-After, in milliseconds, while this relay has no routing table yet. */
  private static final long STARTING_RETRY_MILLIS = 1_000;

  private RequestAdmission() {}

  static void requestArrived(RelayTurn turn, RelayEvent.RequestArrived event) {
    turn.state.anyRequestReceived = true;
    CallerRequest request = event.request();
    if (turn.state.routes.isEmpty()) {
      refuse(turn, event, LocalAnswer.notRun("starting", STARTING_RETRY_MILLIS));
      return;
    }
    if (Lifecycle.refusesNewRequests(turn)) {
      refuse(turn, event, LocalAnswer.notRun("draining", GracePeriod.RETRY_MILLIS));
      return;
    }
    RouteTable routes = turn.state.routes.get();
    Optional<Route> route = routes.match(request.host(), request.path());
    if (route.isEmpty()) {
      refuse(turn, event, LocalAnswer.noRoute());
      return;
    }
    Optional<ApiKeyHolder> keyHolder = request.apiKey().flatMap(routes::accountByKey);
    if (routes.keysRequired() && !route.get().anonymousAllowed() && keyHolder.isEmpty()) {
      refuse(turn, event, LocalAnswer.unknownKey());
      return;
    }
    if (request.id().isEmpty()) {
      refuse(turn, event, LocalAnswer.malformed());
      return;
    }
    admit(turn, event, route.get(), keyHolder);
  }

  private static void admit(
      RelayTurn turn,
      RelayEvent.RequestArrived event,
      Route route,
      Optional<ApiKeyHolder> keyHolder) {
    CallerRequest request = event.request();
    ServiceShare share = route.selectShare(turn.state.random.nextLong());
    if (ProcessorShortage.refuses(turn, request, share.service())) {
      refuse(turn, event, ProcessorShortage.refusal(turn));
      return;
    }
    long limitMillis =
        Math.min(route.timeoutMillis(), request.deadlineMillis().orElse(Long.MAX_VALUE));
    int priority =
        keyHolder.map(ApiKeyHolder::priority).filter(value -> value >= 0).orElse(route.priority());
    Optional<ClientAccountId> account =
        route.anonymousAllowed() ? Optional.empty() : keyHolder.map(ApiKeyHolder::account);
    OpenRequest open =
        new OpenRequest(
            event.id(),
            request,
            event.content(),
            route,
            share.service(),
            account,
            priority,
            turn.nowNanos,
            turn.nowNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis));
    turn.state.open.put(open.id, open);
    turn.state.retryBudget.recordRequest(open.service, turn.nowNanos);
    turn.state.waitingRules.arrived(turn, open);
    WaitingQueue.dispatchOrEnqueue(turn, open);
  }

  private static void refuse(RelayTurn turn, RelayEvent.RequestArrived event, LocalAnswer answer) {
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
    turn.emit(new RelayEffect.AnswerLocally(event.id(), answer));
  }
}
