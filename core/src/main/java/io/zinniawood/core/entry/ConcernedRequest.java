package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;

/** Finds the request that an event concerns. */
final class ConcernedRequest {
  private ConcernedRequest() {}

  /** Returns the request; none if the event concerns no request, several or one that has ended. */
  static Option<RequestId> of(EntryState state, EntryEvent event) {
    if (event instanceof EntryEvent.ModelRequestArrived arrived) {
      return Option.some(arrived.request());
    }
    if (event instanceof EntryEvent.ServiceRequestArrived arrived) {
      return Option.some(arrived.request());
    }
    if (event instanceof EntryEvent.CallerDisconnected disconnected) {
      return Option.some(disconnected.request());
    }
    if (event instanceof EntryEvent.ClaimRead read) {
      return Option.some(read.request());
    }
    if (event instanceof EntryEvent.ClaimReleaseCompleted completed) {
      return Option.some(completed.request());
    }
    if (event instanceof EntryEvent.AgentMessageReceived received) {
      return ofMessage(state, received.message());
    }
    return event instanceof EntryEvent.TimerFired fired
        ? ofTimer(state, fired.timer())
        : Option.none();
  }

  private static Option<RequestId> ofMessage(EntryState state, Message message) {
    if (message instanceof Message.DispatchReply reply) {
      return Option.some(reply.request());
    }
    if (message instanceof Message.DispatchRefused refused) {
      return Option.some(refused.request());
    }
    if (message instanceof Message.CancelResult result) {
      return Option.some(result.request());
    }
    if (message instanceof Message.SessionOpened opened) {
      return ofSession(state, opened.session());
    }
    if (message instanceof Message.SessionRefused refused) {
      return ofSession(state, refused.session());
    }
    if (message instanceof Message.Token token) {
      return ofSession(state, token.session());
    }
    return message instanceof Message.StageFailed failed
        ? ofSession(state, failed.session())
        : Option.none();
  }

  private static Option<RequestId> ofTimer(EntryState state, EntryTimer timer) {
    if (timer instanceof EntryTimer.RequestDeadline deadline) {
      return Option.some(deadline.request());
    }
    if (timer instanceof EntryTimer.AttemptTimeout timeout) {
      return Option.some(timeout.request());
    }
    if (timer instanceof EntryTimer.RetryDelay retry) {
      return Option.some(retry.request());
    }
    return timer instanceof EntryTimer.SessionProgressTimeout progress
        ? ofSession(state, progress.session())
        : Option.none();
  }

  private static Option<RequestId> ofSession(EntryState state, SessionId id) {
    return state.sessions().get(id).map(session -> session.arrival().request());
  }
}
