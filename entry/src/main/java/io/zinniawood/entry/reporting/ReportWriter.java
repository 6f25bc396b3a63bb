package io.zinniawood.entry.reporting;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.report.HtmlRenderer;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.TextRenderer;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.PlatformError;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Writes reports to the object store when their content has changed. Confined to the thread of the
 * executor.
 */
final class ReportWriter {
  static final String OBJECT_PREFIX = "reports/";

  /** Unchanged reports are rewritten too, so that their timestamp shows that they are current. */
  static final long REWRITE_INTERVAL_MILLIS = TimeUnit.MINUTES.toMillis(10);

  private static final Logger LOGGER = System.getLogger(ReportWriter.class.getName());

  private final ObjectStore objects;
  private final Executor executor;
  private Map<String, WrittenReport> lastWritten = HashMap.empty();

  private record WrittenReport(Vector<Section> sections, long atEpochMillis) {}

  ReportWriter(ObjectStore objects, Executor executor) {
    this.objects = objects;
    this.executor = executor;
  }

  /** Forces the next write of each report, as another entry may have written in the meantime. */
  void clearLastWritten() {
    lastWritten = HashMap.empty();
  }

  /** Writes a report as text and HTML if it changed or the rewrite interval has passed. */
  void write(String name, Report report) {
    boolean upToDate =
        lastWritten
            .get(name)
            .exists(
                last ->
                    last.sections().equals(report.sections())
                        && report.writtenEpochMillis() - last.atEpochMillis()
                            < REWRITE_INTERVAL_MILLIS);
    if (upToDate) {
      return;
    }
    lastWritten =
        lastWritten.put(
            Tuple.of(name, new WrittenReport(report.sections(), report.writtenEpochMillis())));
    writeObject(name, ".txt", new TextRenderer().render(report));
    writeObject(name, ".html", new HtmlRenderer().render(report));
  }

  /** Writes the index page with links to the reports. */
  void writeIndex(Vector<String> names) {
    String links =
        names.map(name -> "<li><a href=\"%1$s.html\">%1$s</a>".formatted(name)).mkString();
    writeObject(
        "index",
        ".html",
        "<!doctype html><meta charset=utf-8><meta name=viewport content=\"width=device-width\">"
            + "<title>Reports</title><h1>Reports</h1><ul>"
            + links
            + "</ul>\n");
  }

  private void writeObject(String name, String suffix, String text) {
    var unused =
        objects
            .write(OBJECT_PREFIX + name + suffix, text.getBytes(StandardCharsets.UTF_8))
            .exceptionally(
                failure -> Either.left(new PlatformError.Unavailable(failure.toString())))
            .thenAcceptAsync(result -> onWriteEnded(name, result), executor);
  }

  private void onWriteEnded(String name, Either<PlatformError, String> result) {
    if (result.isLeft()) {
      lastWritten = lastWritten.remove(name);
      LOGGER.log(
          Level.WARNING,
          "cannot write report {0} to the object store: {1}",
          name,
          result.getLeft().detail());
    }
  }
}
