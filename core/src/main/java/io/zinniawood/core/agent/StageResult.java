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
   * @param payload output of the stage
   */
  record Output(SessionId session, int position, Payload payload) implements StageResult {}

  /**
   * Token of the last stage.
   *
   * @param text text of the token
   * @param finish reason why the answer ends with this token, if it does
   */
  record Generated(SessionId session, int position, String text, Option<FinishReason> finish)
      implements StageResult {}

  /**
   * The step failed.
   *
   * @param detail human-readable explanation
   */
  record Failed(SessionId session, int position, String detail) implements StageResult {}
}
