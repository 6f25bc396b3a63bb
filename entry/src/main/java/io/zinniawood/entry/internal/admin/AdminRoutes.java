package io.zinniawood.entry.internal.admin;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.entry.ReportFormat;
import io.zinniawood.entry.ReportSource;
import io.zinniawood.entry.internal.Completions;
import io.zinniawood.telemetry.PrometheusText;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/** HTTP routes of the admin port: health, readiness, metrics and reports. */
public final class AdminRoutes {
  private static final Pattern REPORT_NAME = Pattern.compile("[A-Za-z0-9-]{1,64}");
  private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

  private final Supplier<Readiness> readiness;
  private final EntryMetrics metrics;
  private final ReportSource reports;

  /**
   * Creates the routes.
   *
   * @param readiness supplies the current readiness
   * @param metrics metrics of the process
   * @param reports renders the reports
   */
  public AdminRoutes(Supplier<Readiness> readiness, EntryMetrics metrics, ReportSource reports) {
    this.readiness = readiness;
    this.metrics = metrics;
    this.reports = reports;
  }

  /** Adds the routes to an application. */
  public void install(Jooby application) {
    application.get("/healthz", context -> send(context, StatusCode.OK, PLAIN_TEXT, "ok\n"));
    application.get("/readyz", this::sendReadiness);
    application.get(
        "/metrics",
        context -> send(context, StatusCode.OK, PrometheusText.MEDIA_TYPE, metrics.render()));
    application.get("/", this::sendReportIndex);
    application.get("/reports", this::sendReportIndex);
    application.get("/reports/{name}", this::sendReport);
    application.error(
        (context, cause, code) -> send(context, code, PLAIN_TEXT, code.reason() + "\n"));
  }

  private Context sendReadiness(Context context) {
    Readiness current = readiness.get();
    StatusCode code = current == Readiness.READY ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE;
    String text =
        switch (current) {
          case STARTING -> "not ready: no configuration is accepted yet\n";
          case READY -> "ready\n";
          case DRAINING -> "not ready: draining\n";
        };
    return send(context, code, PLAIN_TEXT, text);
  }

  private Context sendReportIndex(Context context) {
    StringBuilder page =
        new StringBuilder(
            "<!doctype html><meta name=viewport content=\"width=device-width\">"
                + "<title>Reports</title><h1>Reports</h1><ul>");
    for (String name :
        reports.names().filter(candidate -> REPORT_NAME.matcher(candidate).matches())) {
      page.append("<li><a href=\"/reports/%s\">%s</a>".formatted(name, name));
    }
    return send(
        context, StatusCode.OK, ReportFormat.HTML.mediaType(), page.append("</ul>\n").toString());
  }

  private Context sendReport(Context context) {
    String file = context.path("name").value();
    ReportFormat format = ReportFormat.HTML;
    String name = file;
    if (file.endsWith(".txt")) {
      format = ReportFormat.TEXT;
      name = file.substring(0, file.length() - ".txt".length());
    } else if (file.endsWith(".json")) {
      format = ReportFormat.JSON;
      name = file.substring(0, file.length() - ".json".length());
    }
    return REPORT_NAME.matcher(name).matches()
        ? render(context, name, format)
        : send(context, StatusCode.NOT_FOUND, PLAIN_TEXT, "no such report\n");
  }

  private Context render(Context context, String name, ReportFormat format) {
    Completions.handle(
        reports.render(name, format).thenApply(Either::<String, Option<String>>right),
        failure -> "rendering the report failed: " + failure,
        result -> {
          if (result.isLeft()) {
            send(context, StatusCode.SERVER_ERROR, PLAIN_TEXT, result.getLeft() + "\n");
          } else if (result.get().isEmpty()) {
            send(context, StatusCode.NOT_FOUND, PLAIN_TEXT, "no such report\n");
          } else {
            send(context, StatusCode.OK, format.mediaType(), result.get().get());
          }
        });
    return context;
  }

  private static Context send(Context context, StatusCode code, String mediaType, String text) {
    context.setResponseCode(code);
    context.setResponseType(mediaType);
    return context.send(text);
  }
}
