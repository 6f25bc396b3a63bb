package io.zinniawood.core.model;

/** Tells a caller whether its request ran. */
public enum Outcome {
  /** The request ran and its answer is complete. */
  COMPLETED("completed"),
  /** The request did not run and no copy of it will run. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Returns the text that callers see. */
  public String text() {
    return text;
  }
}
