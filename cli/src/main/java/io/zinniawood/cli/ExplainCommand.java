package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.zinniawood.cli.explain.RequestTimeline;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Prints the log events of one request and why it ended, from the logs of relays. */
@Parameters(commandDescription = "Print the events of a request from log files or standard input")
final class ExplainCommand extends HelpOption implements Command {
  @Parameter(description = "REQUEST-ID [FILE...]", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String examples() {
    return "zinniawood explain 9c41d07be2a35f68 relay-1.log relay-2.log";
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) {
    RequestTimeline timeline = new RequestTimeline(arguments.get(0));
    try {
      if (arguments.size() == 1) {
        timeline.addLines(
            "-", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
      }
      for (String file : arguments.subList(1, arguments.size())) {
        try (BufferedReader log = Files.newBufferedReader(Path.of(file))) {
          timeline.addLines(file, log);
        }
      }
    } catch (IOException failure) {
      err.println("zinniawood explain: cannot read " + failure.getMessage());
      return ExitCode.WRONG_USAGE;
    }
    if (timeline.unreadableLines() > 0) {
      err.println(
          "zinniawood explain: %d lines skipped that are not JSON objects"
              .formatted(timeline.unreadableLines()));
    }
    if (!timeline.hasLines()) {
      err.println("zinniawood explain: no log line found for request " + arguments.get(0));
      return ExitCode.FAILED;
    }
    timeline.render().forEach(out::println);
    return ExitCode.DONE;
  }
}
