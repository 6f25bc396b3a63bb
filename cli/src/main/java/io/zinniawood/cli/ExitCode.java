package io.zinniawood.cli;

/** Exit codes of the executable. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The command failed while it ran. */
  FAILED(1),
  /** The arguments, the settings or the configuration are invalid. */
  WRONG_USAGE(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit status of the process. */
  public int code() {
    return code;
  }
}
