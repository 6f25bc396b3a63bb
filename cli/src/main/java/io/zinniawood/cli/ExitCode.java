package io.zinniawood.cli;

/** Exit codes of the executable. */
public enum ExitCode {
  /** The command did what it was asked to do. */
  DONE(0),
  /** The command failed while it ran. */
  FAILED(1),
  /** The arguments, the settings or the configuration are wrong. */
  WRONG_USAGE(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number that the process exits with. */
  public int code() {
    return code;
  }
}
