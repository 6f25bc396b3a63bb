package io.zinniawood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.entry.ReportFormat;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import io.zinniawood.store.http.HttpPlatform;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;

/** Prints a report from an entry or from the object store. */
@Parameters(commandDescription = "Print a report: fleet, incidents, configuration, accounts, burn")
final class ReportCommand extends HelpOption implements Command {
  private static final Pattern REPORT_NAME = Pattern.compile("[A-Za-z0-9-]{1,64}");

  @Parameter(description = "NAME", required = true)
  private List<String> names = new ArrayList<>();

  @Parameter(names = "--entry", description = "Operators' port of an entry, as a URL")
  private String entry;

  @Parameter(
      names = "--platform",
      description = "Base URL of the platform, to read reports/ of the object store")
  private String platform;

  @Parameter(names = "--format", description = "text, html, or json (json only with --entry)")
  private ReportFormat format = ReportFormat.TEXT;

  @Override
  public String name() {
    return "report";
  }

  @Override
  public String examples() {
    return """
        zinniawood report fleet --entry http://127.0.0.1:8081
        zinniawood report burn --entry http://127.0.0.1:8081 --format json
        zinniawood report configuration --platform http://127.0.0.1:7070
        """;
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) {
    Option<String> invalid = usageError();
    if (invalid.isDefined()) {
      err.println("zinniawood report: " + invalid.get());
      return ExitCode.WRONG_USAGE;
    }
    OkHttpClient client = new OkHttpClient();
    Either<String, String> found = entry == null ? fromPlatform(client) : fromEntry(client);
    // Idle OkHttp threads would keep the process alive for a minute.
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
    if (found.isLeft()) {
      err.println("zinniawood report: " + found.getLeft());
      return ExitCode.FAILED;
    }
    out.print(found.get());
    return ExitCode.DONE;
  }

  private Option<String> usageError() {
    if ((entry == null) == (platform == null)) {
      return Option.some("exactly one of --entry and --platform is required");
    }
    if (names.size() != 1 || !REPORT_NAME.matcher(names.get(0)).matches()) {
      return Option.some(
          "expected one report name of up to 64 letters, digits and hyphens, found %s"
              .formatted(names));
    }
    if (platform != null && format == ReportFormat.JSON) {
      return Option.some(
          "the object store holds reports as text and html only; use --entry for json");
    }
    String base = entry == null ? platform : entry;
    return HttpUrl.parse(base) == null
        ? Option.some("'%s' is not an HTTP URL".formatted(base))
        : Option.none();
  }

  private Either<String, String> fromEntry(OkHttpClient client) {
    String suffix =
        switch (format) {
          case HTML -> "";
          case TEXT -> ".txt";
          case JSON -> ".json";
        };
    HttpUrl url =
        HttpUrl.get(entry)
            .newBuilder()
            .addPathSegment("reports")
            .addPathSegment(names.get(0) + suffix)
            .build();
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      ResponseBody body = response.body();
      String text = body == null ? "" : body.string();
      return response.code() == 200
          ? Either.right(text)
          : Either.left("%s returned status %d: %s".formatted(url, response.code(), text.strip()));
    } catch (IOException failure) {
      return Either.left("request to %s failed: %s".formatted(url, failure.getMessage()));
    }
  }

  private Either<String, String> fromPlatform(OkHttpClient client) {
    String object =
        "reports/%s%s".formatted(names.get(0), format == ReportFormat.HTML ? ".html" : ".txt");
    Either<PlatformError, Option<StoredObject>> read =
        new HttpPlatform(URI.create(platform), client).objectStore().read(object).join();
    return read.mapLeft(error -> "object %s cannot be read: %s".formatted(object, error.detail()))
        .flatMap(
            found ->
                found
                    .map(stored -> stored.content().text())
                    .toEither("the object store has no object %s".formatted(object)));
  }
}
