package io.zinniawood.relay.internal;

import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.EndpointSign;
import io.zinniawood.core.relay.OrderResult;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.StoreReadFailure;
import java.util.Optional;
import java.util.function.Predicate;

/** Results of effects that could not be carried out, so that no decision waits for them. */
final class FailedEffects {
  private FailedEffects() {}

  /**
   * Returns the event that ends what the effect began; empty if nothing waits for the effect.
   *
   * @param sent returns whether a request may have reached its endpoint
   */
  static Optional<RelayEvent> resultOf(RelayEffect effect, Predicate<RelayEffect.Send> sent) {
    if (effect instanceof RelayEffect.Send send) {
      AttemptFailureCause cause =
          sent.test(send) ? AttemptFailureCause.CONNECTION_LOST : AttemptFailureCause.NOT_SENT;
      return Optional.of(new RelayEvent.AttemptFailed(send.id(), send.attempt(), cause, 0));
    }
    if (effect instanceof RelayEffect.ConfirmEndpoint check) {
      return Optional.of(
          new RelayEvent.EndpointHeard(check.id(), check.attempt(), EndpointSign.NONE));
    }
    if (effect instanceof RelayEffect.TakeAnswer answer) {
      return Optional.of(
          new RelayEvent.AttemptFailed(
              answer.id(), answer.attempt(), AttemptFailureCause.INVALID_ANSWER, 0));
    }
    if (effect instanceof RelayEffect.RelayAnswer answer) {
      return Optional.of(
          new RelayEvent.AttemptFailed(
              answer.id(), answer.attempt(), AttemptFailureCause.INVALID_ANSWER, 0));
    }
    if (effect instanceof RelayEffect.Repath repath) {
      return Optional.of(
          new RelayEvent.RepathAnswered(
              repath.id(), repath.attempt(), OrderResult.UNKNOWN, Optional.empty()));
    }
    if (effect instanceof RelayEffect.ReadReport report) {
      return Optional.of(new RelayEvent.ReportMissing(report.endpoint()));
    }
    if (effect instanceof RelayEffect.Order order) {
      return Optional.of(
          new RelayEvent.OrderAnswered(order.order().endpoint(), OrderResult.UNKNOWN));
    }
    if (effect instanceof RelayEffect.ReadRoutes || effect instanceof RelayEffect.AwaitRoutes) {
      return Optional.of(new RelayEvent.RoutesReadFailed(StoreReadFailure.UNAVAILABLE));
    }
    if (effect instanceof RelayEffect.ListEndpoints
        || effect instanceof RelayEffect.ReadEndpointChanges) {
      return Optional.of(new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE));
    }
    return Optional.empty();
  }
}
