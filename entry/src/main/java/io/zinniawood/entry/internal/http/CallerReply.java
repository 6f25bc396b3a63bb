package io.zinniawood.entry.internal.http;

import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServiceAnswer;

/** Response to one caller. Called on the event-loop thread only; never blocks. */
public interface CallerReply {
  /** Problem of a request whose answer could not be written. */
  Problem UNWRITABLE =
      Problem.unknown(ProblemType.INTERNAL, "the answer to the request could not be written");

  /** Adds one token to the answer of a model. */
  void addToken(String text);

  /** Completes the answer of a model and ends the request. */
  void finish(FinishReason reason, int tokens);

  /** Sends the answer of a plain service and ends the request. */
  void sendServiceAnswer(ServiceAnswer answer);

  /** Sends a problem and ends the request. */
  void sendProblem(Problem problem);
}
