package io.zinniawood.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/** CBOR bodies of the requests and responses of {@code /engine/run}. */
final class RunMessages {
  private RunMessages() {}

  /** Priority of a step, highest first. */
  enum StepPriority {
    INTERACTIVE(0),
    NORMAL(1),
    BATCH(2);

    private final int rank;

    StepPriority(int rank) {
      this.rank = rank;
    }

    /** Returns 0 for the highest priority. */
    int rank() {
      return rank;
    }
  }

  record RunBody(List<StepBody> steps) {
    RunBody {
      if (steps == null) {
        throw new IllegalArgumentException("field \"steps\" is missing");
      }
    }
  }

  record StepBody(
      String session, int position, byte[] input, int maxTokens, StepPriority priority) {
    StepBody {
      if (session == null || session.isBlank() || input == null || position < 0) {
        throw new IllegalArgumentException(
            "a step needs a session, an input and a position of at least 0, but has session \""
                + session
                + "\" and position "
                + position);
      }
      priority = priority == null ? StepPriority.NORMAL : priority;
    }
  }

  record RunAnswer(List<OutputBody> outputs) {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  record OutputBody(
      String session,
      int position,
      String kind,
      byte[] payload,
      String text,
      String finish,
      String detail) {
    static OutputBody activation(StepBody step, byte[] payload) {
      return new OutputBody(
          step.session(), step.position(), "activation", payload, null, null, null);
    }

    static OutputBody token(StepBody step, String text, ReferenceModel.Finish finish) {
      String reason = finish == null ? null : finish.name();
      return new OutputBody(step.session(), step.position(), "token", null, text, reason, null);
    }

    static OutputBody failed(StepBody step, String detail) {
      return new OutputBody(step.session(), step.position(), "failed", null, null, null, detail);
    }
  }
}
