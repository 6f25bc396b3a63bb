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
   * Output of a layer range that is not the last.
   *
   * @param session session
   * @param position position
   * @param payload activation
   */
  record Activation(SessionId session, int position, Payload payload) implements StepOutput {}

  /**
   * Token of the last layer range.
   *
   * @param session session
   * @param position position
   * @param text text of the token
   * @param finish reason why the answer ends with this token
   */
  record Token(SessionId session, int position, String text, Option<FinishReason> finish)
      implements StepOutput {}

  /**
   * The engine failed the step.
   *
   * @param session session
   * @param position position
   * @param detail explanation for a person
   */
  record Failed(SessionId session, int position, String detail) implements StepOutput {}
}
