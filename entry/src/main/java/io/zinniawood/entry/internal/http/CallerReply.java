package io.zinniawood.entry.internal.http;

import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;

/** Answer to one caller. Called on the event-loop thread only; never blocks. */
public interface CallerReply {
  /** Delivers one token. */
  void addToken(String text);

  /** Ends a model answer. */
  void finish(FinishReason reason, int tokens);

  /** Delivers the answer of a plain service and ends the request. */
  void sendServiceAnswer(ServiceAnswer answer);

  /** Ends the request with a problem. */
  void sendProblem(Problem problem);
}
