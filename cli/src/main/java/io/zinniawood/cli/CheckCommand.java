package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.ConfigurationFile;
import io.zinniawood.config.ConfigurationFolder;
import io.zinniawood.config.MergedConfiguration;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Checks a configuration folder and prints the merged result. */
@Parameters(commandDescription = "Check a configuration folder and print the merged result")
final class CheckCommand extends HelpOption implements Command {
  private static final String SUFFIX = ".toml";

  @Parameter(description = "DIR", required = true)
  private List<String> folders = new ArrayList<>();

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String examples() {
    return "zinniawood check config/";
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) {
    Vector<ConfigurationFile> files;
    try {
      files = read(Path.of(folders.get(0)));
    } catch (IOException unreadable) {
      err.println("zinniawood check: cannot read " + unreadable.getMessage());
      return ExitCode.WRONG_USAGE;
    }
    Either<Vector<ConfigurationFault>, MergedConfiguration> merged =
        ConfigurationFolder.merge(files);
    if (merged.isLeft()) {
      Faults.print(merged.getLeft(), err);
      err.println("%d faults in %d files".formatted(merged.getLeft().size(), files.size()));
      return ExitCode.WRONG_USAGE;
    }
    merged
        .get()
        .origins()
        .toVector()
        .sortBy(origin -> origin._1())
        .forEach(
            origin ->
                out.printf(
                    "%s = %s  (%s:%d)%n",
                    origin._1(), origin._2().value(), origin._2().file(), origin._2().line()));
    out.printf("%d files, no faults%n", files.size());
    return ExitCode.DONE;
  }

  private static Vector<ConfigurationFile> read(Path folder) throws IOException {
    List<ConfigurationFile> files = new ArrayList<>();
    try (Stream<Path> entries = Files.list(folder)) {
      for (Path file : entries.filter(path -> path.toString().endsWith(SUFFIX)).sorted().toList()) {
        files.add(
            new ConfigurationFile(file.getFileName().toString(), "file", Files.readString(file)));
      }
    }
    return Vector.ofAll(files);
  }
}
