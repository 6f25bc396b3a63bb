package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.IncidentKind;
import io.zinniawood.report.page.IncidentKindText;
import io.zinniawood.report.page.IncidentsReport;

/**
 * Keeps the latest incidents of the entry in bounded memory. Each kind has its own bound, so that
 * many incidents of one kind do not displace the others. Confined to one thread.
 */
final class IncidentLog {
  /** Keeps memory below 2 MB, with 12 kinds and at most about 2 KB per incident. */
  static final int MAX_PER_KIND = 60;

  private static final int MAX_SUBJECT_CHARACTERS = 160;
  private static final int MAX_DETAIL_CHARACTERS = 600;

  private final long sinceEpochMillis;
  private Vector<IncidentKindText.RecordedIncident> incidents = Vector.empty();
  private long lastId;
  private long droppedIncidents;

  IncidentLog(long sinceEpochMillis) {
    this.sinceEpochMillis = sinceEpochMillis;
  }

  void add(Incident incident, long nowEpochMillis) {
    Option<IncidentKindText> text = IncidentKindText.forName(incident.kind().name());
    if (text.isEmpty()) {
      return;
    }
    lastId++;
    incidents =
        incidents.append(
            new IncidentKindText.RecordedIncident(
                Long.toString(lastId),
                text.get(),
                truncate(incident.subject(), MAX_SUBJECT_CHARACTERS),
                toSentence(truncate(incident.detail(), MAX_DETAIL_CHARACTERS)),
                nowEpochMillis));
    if (incidents.count(found -> found.kind() == text.get()) > MAX_PER_KIND) {
      int oldest = incidents.indexWhere(found -> found.kind() == text.get());
      incidents = incidents.removeAt(oldest);
      droppedIncidents++;
    }
  }

  IncidentsReport.Figures figures(String writer, long nowEpochMillis) {
    return new IncidentsReport.Figures(
        nowEpochMillis,
        writer,
        sinceEpochMillis,
        IncidentKindText.reportedIncidents(incidents),
        droppedIncidents,
        Vector.empty());
  }

  /** Returns when the endpoint was last lost, none if no such incident is kept. */
  Option<Long> lostAt(String endpoint) {
    return incidents
        .findLast(
            found ->
                found.kind().name().equals(IncidentKind.ENDPOINT_LOST.name())
                    && found.subject().equals(endpoint))
        .map(IncidentKindText.RecordedIncident::atEpochMillis);
  }

  private static String truncate(String text, int maxLength) {
    return text.length() <= maxLength ? text : text.substring(0, maxLength) + "...";
  }

  private static String toSentence(String detail) {
    if (detail.isBlank()) {
      return "";
    }
    String start = detail.substring(0, 1).toUpperCase(java.util.Locale.ROOT) + detail.substring(1);
    return start.endsWith(".") ? start : start + ".";
  }
}
