package io.zinniawood.report.page;

import io.vavr.Tuple;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;
import java.util.concurrent.TimeUnit;

/** Report on the current state of all endpoints, as seen by one entry. */
public final class FleetReport {
  /** Endpoints report at least every few seconds, so an older state may be outdated. */
  public static final long STALE_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(15);

  private static final int MAX_SHOWN_NAMES = 6;
  private static final int MAX_SHOWN_ENDPOINTS = 50;

  private FleetReport() {}

  /** State of an endpoint. */
  public enum EndpointState {
    /** Accepts new work. */
    SERVING("serving"),
    /** Not ready yet. */
    STARTING("starting"),
    /** Finishes its current work and accepts no new work. */
    LEAVING("leaving"),
    /** Excluded after repeated failures; gets little work until it recovers. */
    EJECTED("excluded after failures"),
    /** Does not respond. */
    LOST("not answering");

    private final String text;

    EndpointState(String text) {
      this.text = text;
    }

    /** Returns the description of the state on the page. */
    public String text() {
      return text;
    }
  }

  /**
   * One endpoint.
   *
   * @param id id of the endpoint
   * @param dataCentre name of its data centre
   * @param serves layers of a model or name of a service
   * @param state state according to its last message
   * @param running number of work items in progress
   * @param concurrencyLimit current maximum number of concurrent work items
   * @param lastMessageEpochMillis time of the last message in milliseconds since 1970
   */
  public record Endpoint(
      String id,
      String dataCentre,
      String serves,
      EndpointState state,
      int running,
      int concurrencyLimit,
      long lastMessageEpochMillis) {}

  /**
   * Actual and configured number of endpoints of a layer range or a service.
   *
   * @param name name of the layer range or service
   * @param serving number of endpoints that serve it
   * @param configured number of endpoints that the configuration requires
   */
  public record ServingCount(String name, int serving, int configured) {}

  /**
   * Input of the report.
   *
   * @param nowEpochMillis creation time of the report in milliseconds since 1970
   * @param writer name of the entry that creates the report
   * @param endpoints endpoints that the entry knows
   * @param servingCounts endpoint numbers of each layer range and service
   * @param controller entry that holds the controller lease, none if it is not known
   * @param unconnectedEndpoints number of endpoints in the VM list without a connection to this
   *     entry
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      Vector<Endpoint> endpoints,
      Vector<ServingCount> servingCounts,
      Option<String> controller,
      int unconnectedEndpoints) {}

  /** Builds the report from the figures. */
  public static Report of(Figures figures) {
    return new Report(
        "Fleet now",
        figures.nowEpochMillis(),
        figures.writer(),
        Vector.of(
            summary(figures),
            servingCountSection(figures),
            unavailableSection(figures),
            availableSection(figures)));
  }

  private static Section summary(Figures figures) {
    Vector<Endpoint> serving =
        figures.endpoints().filter(endpoint -> endpoint.state() == EndpointState.SERVING);
    Vector<Block> lines =
        Vector.of(
            new Block.Line(
                serving.isEmpty() ? Tone.BAD : Tone.PLAIN,
                "%d of %s %s new work."
                    .formatted(
                        serving.size(),
                        DisplayFormat.count(figures.endpoints().size(), "endpoint"),
                        figures.endpoints().size() == 1 ? "takes" : "take")));
    lines =
        lines
            .appendAll(endpointsInState(figures, EndpointState.LOST, Tone.BAD, lostText()))
            .appendAll(
                endpointsInState(figures, EndpointState.EJECTED, Tone.WARNING, ejectedText()))
            .appendAll(endpointsInState(figures, EndpointState.LEAVING, Tone.PLAIN, leavingText()));
    lines =
        lines.append(
            figures
                .controller()
                .map(
                    holder ->
                        new Block.Line(
                            Tone.PLAIN, "Entry %s controls the engines.".formatted(holder)))
                .getOrElse(
                    new Block.Line(
                        Tone.UNKNOWN,
                        "It is not known which entry controls the engines. Engines keep their"
                            + " work, but lost replicas are not restored until it is known.")));
    if (figures.unconnectedEndpoints() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.UNKNOWN,
                  "%s more in the VM list belong to other entries; ask those for their state."
                      .formatted(DisplayFormat.count(figures.unconnectedEndpoints(), "endpoint"))));
    }
    return new Section("Summary", lines);
  }

  private static String lostText() {
    return "%s does not answer. The system sends its work elsewhere and tries to connect again."
        + " Check its VM if this lasts.";
  }

  private static String ejectedText() {
    return "%s failed too often and gets little work until it recovers. Nothing to do unless it"
        + " stays in this list.";
  }

  private static String leavingText() {
    return "%s finishes its work and then stops.";
  }

  private static Vector<Block> endpointsInState(
      Figures figures, EndpointState state, Tone tone, String sentence) {
    Vector<String> names =
        figures.endpoints().filter(endpoint -> endpoint.state() == state).map(Endpoint::id);
    return names.isEmpty()
        ? Vector.empty()
        : Vector.of(
            new Block.Line(
                tone,
                sentence.formatted(
                    (names.size() == 1 ? "Endpoint " : "Each of the endpoints ")
                        + DisplayFormat.nameList(names, MAX_SHOWN_NAMES))));
  }

  private static Section servingCountSection(Figures figures) {
    Vector<Block> lines =
        figures
            .servingCounts()
            .filter(count -> count.serving() < count.configured())
            .map(
                count ->
                    new Block.Line(
                        count.serving() == 0 ? Tone.BAD : Tone.WARNING,
                        count.serving() == 0
                            ? "%s: no endpoint serves it, so its requests are refused as not run."
                                .formatted(count.name())
                            : "%s: %d of %d wanted endpoints serve it."
                                .formatted(count.name(), count.serving(), count.configured())));
    return new Section(
        "Models and services",
        lines.isEmpty()
            ? Vector.of(
                figures.servingCounts().isEmpty()
                    ? new Block.Line(Tone.UNKNOWN, "No model or service is configured.")
                    : new Block.Line(Tone.GOOD, "All have as many endpoints as configured."))
            : lines);
  }

  /** Lists only endpoints that are not available, because a list of all would be too long. */
  private static Section unavailableSection(Figures figures) {
    Vector<Endpoint> unavailable =
        figures
            .endpoints()
            .filter(endpoint -> !isAvailable(endpoint, figures.nowEpochMillis()))
            .sortBy(Endpoint::id);
    if (unavailable.isEmpty()) {
      return Section.of("Endpoints that do not take new work", new Block.Line(Tone.GOOD, "None."));
    }
    Vector<Block.Column> columns =
        Vector.of(
            Block.Column.text("endpoint"),
            Block.Column.text("state"),
            Block.Column.text("data centre"),
            Block.Column.text("serves"),
            Block.Column.number("work"),
            Block.Column.number("heard"));
    Section section =
        Section.of(
            "Endpoints that do not take new work",
            new Block.Table(
                columns,
                unavailable
                    .take(MAX_SHOWN_ENDPOINTS)
                    .map(endpoint -> row(endpoint, figures.nowEpochMillis()))));
    int hidden = unavailable.size() - MAX_SHOWN_ENDPOINTS;
    return hidden <= 0
        ? section
        : section.with(
            new Block.Line(
                Tone.PLAIN,
                "%s more are not shown.".formatted(DisplayFormat.count(hidden, "endpoint"))));
  }

  private static boolean isAvailable(Endpoint endpoint, long nowEpochMillis) {
    return endpoint.state() == EndpointState.SERVING
        && nowEpochMillis - endpoint.lastMessageEpochMillis() <= STALE_AFTER_MILLIS;
  }

  private static Section availableSection(Figures figures) {
    Vector<Vector<String>> rows =
        figures
            .endpoints()
            .filter(endpoint -> isAvailable(endpoint, figures.nowEpochMillis()))
            .groupBy(endpoint -> Tuple.of(endpoint.dataCentre(), endpoint.serves()))
            .toVector()
            .sortBy(group -> group._1())
            .map(
                group ->
                    Vector.of(
                        group._1()._1() + ", " + group._1()._2(),
                        DisplayFormat.wholeNumber(group._2().size()),
                        "%s of %s"
                            .formatted(
                                DisplayFormat.wholeNumber(
                                    group._2().map(Endpoint::running).sum().longValue()),
                                DisplayFormat.wholeNumber(
                                    group
                                        ._2()
                                        .map(Endpoint::concurrencyLimit)
                                        .sum()
                                        .longValue()))));
    if (rows.isEmpty()) {
      return Section.of("Endpoints that take new work", new Block.Line(Tone.BAD, "None."));
    }
    return Section.of(
        "Endpoints that take new work",
        new Block.Table(
            Vector.of(
                Block.Column.text("data centre and what they serve"),
                Block.Column.number("endpoints"),
                Block.Column.number("work")),
            rows));
  }

  private static Vector<String> row(Endpoint endpoint, long nowEpochMillis) {
    long ageMillis = nowEpochMillis - endpoint.lastMessageEpochMillis();
    boolean stale = ageMillis > STALE_AFTER_MILLIS && endpoint.state() != EndpointState.LOST;
    return Vector.of(
        endpoint.id(),
        endpoint.state().text() + (stale ? " (when last heard)" : ""),
        endpoint.dataCentre(),
        endpoint.serves(),
        "%d of %d".formatted(endpoint.running(), endpoint.concurrencyLimit()),
        DisplayFormat.duration(ageMillis) + " ago");
  }
}
