package io.zinniawood.cli;

/** Entry point of the executable. */
public final class Main {
  private Main() {}

  /** Runs the command that the arguments name. */
  public static void main(String[] arguments) {
    System.out.println("zinniawood");
  }
}
