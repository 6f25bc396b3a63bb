package io.zinniawood.cli;

import com.beust.jcommander.Parameter;

/** The {@code --help} option, which all commands inherit. */
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
