package io.zinniawood.core.relay;

import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import java.util.OptionalLong;

/** Applies the processor guard to ticks and to new requests. */
final class ProcessorShortage {
  /**
   * Shortest Retry-After in milliseconds: about the time in which the smoothed lateness falls to
   * half of its threshold.
   */
  private static final int MIN_RETRY_MILLIS = 250;

  private static final int MAX_RETRY_MILLIS = 500;

  private ProcessorShortage() {}

  static void tick(RelayTurn turn) {
    OptionalLong shortestMillis = shortestTargetLatencyMillis(turn.state);
    if (shortestMillis.isPresent()) {
      turn.state.processorGuard.tick(turn.nowNanos, shortestMillis.getAsLong());
    } else {
      turn.state.processorGuard.reset();
    }
  }

  private static OptionalLong shortestTargetLatencyMillis(RelayState state) {
    long shortestMillis = Long.MAX_VALUE;
    if (state.routes.isPresent() && state.scheduling(SchedulingPart.PROCESSOR_GUARD)) {
      RouteTable table = state.routes.get();
      for (RoutedService service : table.services()) {
        OptionalLong millis = table.shortestTargetLatencyMillis(service.name());
        if (millis.isPresent()
            && millis.getAsLong() > 0
            && state.scheduling(SchedulingPart.PROCESSOR_GUARD, service.name())) {
          shortestMillis = Math.min(shortestMillis, millis.getAsLong());
        }
      }
    }
    return shortestMillis == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(shortestMillis);
  }

  /** Returns whether a new request is refused; the rest of a stream that has begun is not. */
  static boolean refuses(RelayTurn turn, CallerRequest request, ServiceName service) {
    return turn.state.processorGuard.refuseNewRequests()
        && request.resumeAfter() == 0
        && turn.state.scheduling(SchedulingPart.PROCESSOR_GUARD, service);
  }

  /** Returns the answer to a request that is refused, and counts it. */
  static LocalAnswer refusal(RelayTurn turn) {
    turn.state.processorShortRequests++;
    long retryMillis =
        MIN_RETRY_MILLIS + turn.state.random.nextInt(MAX_RETRY_MILLIS - MIN_RETRY_MILLIS + 1);
    turn.state.schedulingLog.log(
        turn,
        "processor-short",
        "latenessMillis",
        Math.round(turn.state.processorGuard.latenessMillis()),
        "retryAfterMillis",
        retryMillis);
    return LocalAnswer.notRun("processor-short", retryMillis);
  }
}
