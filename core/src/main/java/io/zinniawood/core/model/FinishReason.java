package io.zinniawood.core.model;

/** Reason why a model answer ended. */
public enum FinishReason {
  /** The model ended the answer. */
  STOP("stop"),
  /** The token limit was reached. */
  LENGTH("length");

  private final String text;

  FinishReason(String text) {
    this.text = text;
  }

  /** Returns the name of the reason in the chat API. */
  public String text() {
    return text;
  }
}
