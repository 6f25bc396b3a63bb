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
 * Writes reports to the object store when their content changed. Confined to the thread of the
 * executor.
 */
final class ReportFiles {
  static final String PREFIX = "reports/";

  /** Unchanged reports are written again, so that their time shows that somebody still writes. */
  static final long REWRITE_MILLIS = TimeUnit.MINUTES.toMillis(10);

  private static final Logger LOGGER = System.getLogger(ReportFiles.class.getName());

  private final ObjectStore objects;
  private final Executor executor;
  private Map<String, Written> written = HashMap.empty();

  private record Written(Vector<Section> sections, long atEpochMillis) {}

  ReportFiles(ObjectStore objects, Executor executor) {
    this.objects = objects;
    this.executor = executor;
  }

  /** Forgets what was written, as another entry may write from now on. */
  void forget() {
    written = HashMap.empty();
  }

  /** Writes a report as text and HTML if it changed. */
  void write(String name, Report report) {
    boolean same =
        written
            .get(name)
            .exists(
                last ->
                    last.sections().equals(report.sections())
                        && report.writtenEpochMillis() - last.atEpochMillis() < REWRITE_MILLIS);
    if (same) {
      return;
    }
    written =
        written.put(Tuple.of(name, new Written(report.sections(), report.writtenEpochMillis())));
    put(name, ".txt", new TextRenderer().render(report));
    put(name, ".html", new HtmlRenderer().render(report));
  }

  /** Writes the page that links the reports. */
  void writeIndex(Vector<String> names) {
    String links =
        names.map(name -> "<li><a href=\"%1$s.html\">%1$s</a>".formatted(name)).mkString();
    put(
        "index",
        ".html",
        "<!doctype html><meta charset=utf-8><meta name=viewport content=\"width=device-width\">"
            + "<title>Reports</title><h1>Reports</h1><ul>"
            + links
            + "</ul>\n");
  }

  private void put(String name, String suffix, String text) {
    var unused =
        objects
            .write(PREFIX + name + suffix, text.getBytes(StandardCharsets.UTF_8))
            .exceptionally(fault -> Either.left(new PlatformError.Unavailable(fault.toString())))
            .thenAcceptAsync(result -> ended(name, result), executor);
  }

  private void ended(String name, Either<PlatformError, String> result) {
    if (result.isLeft()) {
      written = written.remove(name);
      LOGGER.log(Level.WARNING, "report {0} not written: {1}", name, result.getLeft().detail());
    }
  }
}
