package io.zinniawood.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes complete answers of the deterministic model in a single process. A chain of engine
 * stand-ins with the same parameters gives the same answer, however the layers are split.
 */
public final class ReferenceModel {
  private static final String[] VOCABULARY = {
    "coin", "credit", "voucher", "kiosk", "bin", "salt", "route", "grit", "depot", "street",
    "clerk", "driver", "refill", "status", "empty", "full", "open", "closed", "north", "south",
    "east", "west", "early", "late", "today", "tomorrow", "please", "bring", "check", "the",
    "and", "at"
  };
  private final ModelParameters parameters;

  /** Creates a model with all layers. */
  public ReferenceModel(ModelParameters parameters) {
    this.parameters = parameters;
  }

  /** Reason why an answer ends. */
  public enum Finish {
    /** The model ended the answer. */
    STOP,
    /** The token limit was reached. */
    LENGTH
  }

  /**
   * A complete answer.
   *
   * @param tokens texts of the tokens in order
   * @param finish reason why the answer ends
   */
  public record Answer(List<String> tokens, Finish finish) {
    /** Returns the concatenated tokens. */
    public String text() {
      return String.join("", tokens);
    }
  }

  /** Computes the answer to a prompt with at least one token. */
  public Answer answer(String prompt, int maxTokens) {
    return answer(prompt.getBytes(StandardCharsets.UTF_8), maxTokens);
  }

  /** Computes the answer to a prompt with at least one token. */
  public Answer answer(byte[] prompt, int maxTokens) {
    LayerStack stack = new LayerStack(parameters, 0, parameters.layers());
    List<String> tokens = new ArrayList<>();
    byte[] input = prompt;
    for (int position = 0; ; position++) {
      long activation = stack.run(position, Hashing.ofBytes(input));
      String token = token(activation);
      tokens.add(token);
      Finish finish = finish(parameters, activation, position, maxTokens);
      if (finish != null) {
        return new Answer(List.copyOf(tokens), finish);
      }
      input = token.getBytes(StandardCharsets.UTF_8);
    }
  }

  /** Returns the token for an activation of the last layer, with a leading space. */
  static String token(long activation) {
    return " " + VOCABULARY[(int) Long.remainderUnsigned(activation, VOCABULARY.length)];
  }

  /** Returns the reason why the answer ends with this token, or null if it continues. */
  static Finish finish(ModelParameters parameters, long activation, int position, int maxTokens) {
    if (position + 1 >= maxTokens) {
      return Finish.LENGTH;
    }
    boolean stops =
        parameters.stopEvery() > 0
            && Long.remainderUnsigned(activation >>> 16, parameters.stopEvery()) == 0;
    return stops ? Finish.STOP : null;
  }
}
