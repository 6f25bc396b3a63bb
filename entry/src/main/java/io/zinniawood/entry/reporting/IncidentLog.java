package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.IncidentKind;
import io.zinniawood.report.page.IncidentKindText;
import io.zinniawood.report.page.IncidentsReport;

/**
 * Keeps the last incidents of the entry in bounded memory. Each kind has a bound of its own, so
 * that a flood of one kind does not displace the others. Confined to one thread.
 */
final class IncidentLog {
  /** 12 kinds with at most about 2 KB each entry stay below 2 MB. */
  static final int MAX_PER_KIND = 60;

  private static final int MAX_SUBJECT_CHARACTERS = 160;
  private static final int MAX_DETAIL_CHARACTERS = 600;

  private final long sinceEpochMillis;
  private Vector<IncidentKindText.RecordedIncident> incidents = Vector.empty();
  private long ids;
  private long dropped;

  IncidentLog(long sinceEpochMillis) {
    this.sinceEpochMillis = sinceEpochMillis;
  }

  void add(Incident incident, long nowEpochMillis) {
    Option<IncidentKindText> text = IncidentKindText.forName(incident.kind().name());
    if (text.isEmpty()) {
      return;
    }
    ids++;
    incidents =
        incidents.append(
            new IncidentKindText.RecordedIncident(
                Long.toString(ids),
                text.get(),
                cut(incident.subject(), MAX_SUBJECT_CHARACTERS),
                sentence(cut(incident.detail(), MAX_DETAIL_CHARACTERS)),
                nowEpochMillis));
    if (incidents.count(found -> found.kind() == text.get()) > MAX_PER_KIND) {
      int oldest = incidents.indexWhere(found -> found.kind() == text.get());
      incidents = incidents.removeAt(oldest);
      dropped++;
    }
  }

  IncidentsReport.Figures figures(String writer, long nowEpochMillis) {
    return new IncidentsReport.Figures(
        nowEpochMillis,
        writer,
        sinceEpochMillis,
        IncidentKindText.reportedIncidents(incidents),
        dropped,
        Vector.empty());
  }

  /** Returns the time of the last loss of an endpoint, none if it is not kept. */
  Option<Long> lostAt(String endpoint) {
    return incidents
        .findLast(
            found ->
                found.kind().name().equals(IncidentKind.ENDPOINT_LOST.name())
                    && found.subject().equals(endpoint))
        .map(IncidentKindText.RecordedIncident::atEpochMillis);
  }

  private static String cut(String text, int most) {
    return text.length() <= most ? text : text.substring(0, most) + "...";
  }

  private static String sentence(String detail) {
    if (detail.isBlank()) {
      return "";
    }
    String start = detail.substring(0, 1).toUpperCase(java.util.Locale.ROOT) + detail.substring(1);
    return start.endsWith(".") ? start : start + ".";
  }
}
