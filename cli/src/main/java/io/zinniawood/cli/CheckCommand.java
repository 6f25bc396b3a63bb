package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.AcceptanceCodec;
import io.zinniawood.config.CheckReport;
import io.zinniawood.config.CodecError;
import io.zinniawood.config.ConfigurationFolder;
import io.zinniawood.core.acceptance.AcceptedRow;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.http.HttpPlatform;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;

/**
 * Validates a configuration folder and prints the merged configuration, optionally with the changes
 * from the accepted configuration.
 */
@Parameters(commandDescription = "Check a configuration folder and print the merged result")
final class CheckCommand extends HelpOption implements Command {
  private static final String ACCEPTED_ROW_KEY = "config/accepted";

  @Parameter(description = "DIR", required = true)
  private List<String> folders = new ArrayList<>();

  @Parameter(
      names = "--platform",
      description = "Base URL of the platform, to show changes from the accepted configuration")
  private String platform;

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String examples() {
    return """
        zinniawood check config/
        zinniawood check config/ --platform http://127.0.0.1:7070
        """;
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) {
    if (folders.size() != 1 || (platform != null && HttpUrl.parse(platform) == null)) {
      err.println(
          "zinniawood check: expected one folder and, if --platform is given, an HTTP URL; found "
              + "folders %s, platform %s".formatted(folders, platform));
      return ExitCode.WRONG_USAGE;
    }
    Either<String, Option<AcceptedConfiguration>> accepted =
        platform == null ? Either.right(Option.none()) : readAcceptedConfiguration();
    CheckReport report =
        CheckReport.of(
            ConfigurationFolder.read(Path.of(folders.get(0))), accepted.getOrElse(Option.none()));
    report.lines().forEach(report.valid() ? out::println : err::println);
    if (!report.valid()) {
      return ExitCode.WRONG_USAGE;
    }
    if (accepted.isLeft()) {
      err.println(
          "zinniawood check: cannot read the accepted configuration: " + accepted.getLeft());
      return ExitCode.FAILED;
    }
    if (platform != null && accepted.get().isEmpty()) {
      out.println("No configuration was accepted yet, so every value is new.");
    }
    return ExitCode.DONE;
  }

  private Either<String, Option<AcceptedConfiguration>> readAcceptedConfiguration() {
    OkHttpClient client = new OkHttpClient();
    try {
      HttpPlatform httpPlatform = new HttpPlatform(URI.create(platform), client);
      Either<PlatformError, Option<TableRow>> row =
          httpPlatform.table().read(ACCEPTED_ROW_KEY).join();
      if (row.isLeft()) {
        return Either.left(row.getLeft().detail());
      }
      return row.get().isEmpty()
          ? Either.right(Option.none())
          : AcceptanceCodec.decodeRow(row.get().get().value())
              .mapLeft(CodecError::detail)
              .flatMap(acceptedRow -> readSnapshot(httpPlatform, acceptedRow));
    } finally {
      // Idle OkHttp threads would keep the process alive for a minute.
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }

  private static Either<String, Option<AcceptedConfiguration>> readSnapshot(
      HttpPlatform platform, AcceptedRow row) {
    Either<PlatformError, Option<StoredObject>> object =
        platform.objectStore().read(row.objectName()).join();
    return object
        .mapLeft(PlatformError::detail)
        .flatMap(
            found ->
                found.toEither("the object store has no snapshot %s".formatted(row.objectName())))
        .flatMap(
            found -> AcceptanceCodec.decodeSnapshot(found.content()).mapLeft(CodecError::detail))
        .map(snapshot -> Option.some(snapshot.configuration()));
  }
}
