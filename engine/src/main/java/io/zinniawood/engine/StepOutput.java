package io.zinniawood.engine;

import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Payload;

/** Output of one step. */
public sealed interface StepOutput {
  /** Returns the session of the step. */
  SessionId session();

  /** Returns the position of the step. */
  int position();

  /**
   * Activation, the output of a layer range that is not the last one.
   *
   * @param session session of the step
   * @param position position of the step
   * @param payload encoded activation
   */
  record Activation(SessionId session, int position, Payload payload) implements StepOutput {}

  /**
   * Token, the output of the last layer range.
   *
   * @param session session of the step
   * @param position position of the step
   * @param text text of the token
   * @param finish reason why the answer ends with this token, none if it continues
   */
  record Token(SessionId session, int position, String text, Option<FinishReason> finish)
      implements StepOutput {}

  /**
   * Failure of a step that the engine reported.
   *
   * @param session session of the step
   * @param position position of the step
   * @param detail human-readable explanation
   */
  record Failed(SessionId session, int position, String detail) implements StepOutput {}
}
