package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Tone;

/** Sentences for each kind of incident; the names are those of the entry's incident kinds. */
public enum IncidentKindText {
  /** An endpoint stopped answering. */
  ENDPOINT_LOST(
      Tone.BAD,
      "Endpoint %s stopped answering; the system sends its work elsewhere.",
      "Check its VM if it does not come back."),
  /** An endpoint came back. */
  ENDPOINT_BACK(Tone.GOOD, "Endpoint %s answers again and gets work step by step.", ""),
  /** A connection went silent and was replaced. */
  CONNECTION_SILENT(
      Tone.WARNING, "A connection to %s went silent; the system opened a new one.", ""),
  /** A stage of a session was replaced. */
  STAGE_REPLACED(
      Tone.WARNING, "A stage of answer %s was replaced; the answer went on after a pause.", ""),
  /** A request ended with an unknown outcome. */
  OUTCOME_UNKNOWN(
      Tone.BAD,
      "The system could not find out whether request %s ran, and told the caller so.",
      "Compare with the records of the service; a repeat with the same idempotency key is safe."),
  /** The controller lease changed hands. */
  LEASE_TAKEN(Tone.PLAIN, "Entry %s took over the control of engines.", ""),
  /** A layer range has fewer replicas than configured. */
  RANGE_UNDERSERVED(
      Tone.WARNING,
      "%s: layers have fewer replicas than configured, or this cannot be judged.",
      "Add endpoints if no order to restore it follows."),
  /** An engine order was given. */
  ORDER_GIVEN(Tone.PLAIN, "The controller ordered a change of endpoint %s.", ""),
  /** A configuration was accepted. */
  CONFIGURATION_ACCEPTED(Tone.GOOD, "Configuration %s was accepted.", ""),
  /** A configuration was rejected. */
  CONFIGURATION_REJECTED(
      Tone.BAD,
      "An edit of %s was not accepted; the configuration in force stays.",
      "The configuration report names each place to correct."),
  /** The platform's store became unavailable or available. */
  STORE_STATE(
      Tone.WARNING,
      "The state of the platform's %s changed.",
      "While the store is down, calls with an idempotency key are refused as not run."),
  /** A client account reached its limit. */
  ACCOUNT_LIMITED(
      Tone.WARNING,
      "Client account %s reached its limit; requests beyond it were refused as not run.",
      "Raise the limits of the account if that load is wanted.");

  /** Longer than the detection and repair of a failure; later incidents have their own cause. */
  static final long MAX_CAUSE_AGE_MILLIS = 30_000;

  private final Tone tone;
  private final String sentence;
  private final String advice;

  IncidentKindText(Tone tone, String sentence, String advice) {
    this.tone = tone;
    this.sentence = sentence;
    this.advice = advice;
  }

  /**
   * Recorded incident.
   *
   * @param id id, unique in the report
   * @param kind kind
   * @param subject endpoint, request or file concerned
   * @param detail more about it
   * @param atEpochMillis time in milliseconds since 1970
   */
  public record RecordedIncident(
      String id, IncidentKindText kind, String subject, String detail, long atEpochMillis) {}

  /** Returns the kind with the name of an entry's incident kind. */
  public static Option<IncidentKindText> forName(String name) {
    return Vector.of(values()).find(kind -> kind.name().equals(name));
  }

  /**
   * Returns entries for a report. An incident is linked to the last earlier one within 30 s whose
   * subject it has or names; without such evidence no cause is claimed.
   */
  public static Vector<IncidentsReport.ReportedIncident> reportedIncidents(
      Vector<RecordedIncident> incidents) {
    Vector<RecordedIncident> ordered = incidents.sortBy(RecordedIncident::atEpochMillis);
    return ordered
        .zipWithIndex()
        .map(
            pair ->
                pair._1()
                    .kind()
                    .toReported(
                        pair._1(),
                        findCause(ordered.take(pair._2()), pair._1()).map(RecordedIncident::id)));
  }

  private IncidentsReport.ReportedIncident toReported(
      RecordedIncident incident, Option<String> cause) {
    String detail = incident.detail().isBlank() ? "" : " " + incident.detail();
    return new IncidentsReport.ReportedIncident(
        incident.id(),
        cause,
        incident.atEpochMillis(),
        tone,
        sentence.formatted(incident.subject()) + detail,
        advice.isEmpty() ? Option.none() : Option.of(advice));
  }

  private static Option<RecordedIncident> findCause(
      Vector<RecordedIncident> earlier, RecordedIncident effect) {
    return earlier
        .reverse()
        .takeWhile(found -> effect.atEpochMillis() - found.atEpochMillis() <= MAX_CAUSE_AGE_MILLIS)
        .find(found -> found.kind() != effect.kind() && mentions(effect, found.subject()));
  }

  private static boolean mentions(RecordedIncident effect, String subject) {
    return effect.subject().equals(subject)
        || Vector.of(effect.detail().split("[\\s,;:()]+", -1))
            .exists(word -> word.equals(subject) || word.equals(subject + "."));
  }
}
