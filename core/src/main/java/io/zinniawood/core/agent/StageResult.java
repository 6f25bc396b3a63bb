package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Payload;

/** Result of one step of the engine. */
public sealed interface StageResult {

  /**
   * Output of a stage that is not the last.
   *
   * @param session session
   * @param position position
   * @param payload output
   */
  record Output(SessionId session, int position, Payload payload) implements StageResult {}

  /**
   * Token of the last stage.
   *
   * @param session session
   * @param position position
   * @param text text of the token
   * @param finish reason why the answer ends
   */
  record Generated(SessionId session, int position, String text, Option<FinishReason> finish)
      implements StageResult {}

  /**
   * The step failed.
   *
   * @param session session
   * @param position position
   * @param detail explanation for a person
   */
  record Failed(SessionId session, int position, String detail) implements StageResult {}
}
