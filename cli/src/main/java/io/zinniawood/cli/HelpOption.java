package io.zinniawood.cli;

import com.beust.jcommander.Parameter;

/** The option that all commands have. */
abstract class HelpOption {
  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Print the options and examples")
  private boolean help;

  boolean helpRequested() {
    return help;
  }
}
