package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Tone;

/** Report texts for each incident kind; the constants have the names of the entry's kinds. */
public enum IncidentKindText {
  /** An endpoint stopped responding. */
  ENDPOINT_LOST(
      Tone.BAD,
      "Endpoint %s stopped answering; the system sends its work elsewhere.",
      "Check its VM if it does not come back."),
  /** A lost endpoint responds again. */
  ENDPOINT_BACK(Tone.GOOD, "Endpoint %s answers again and gets work step by step.", ""),
  /** A connection without incoming messages was replaced. */
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
  /** Another entry acquired the controller lease. */
  LEASE_TAKEN(Tone.PLAIN, "Entry %s took over the control of engines.", ""),
  /** A layer range has fewer replicas than configured. */
  RANGE_UNDERSERVED(
      Tone.WARNING,
      "%s: layers have fewer replicas than configured, or this cannot be judged.",
      "Add endpoints if no order to restore it follows."),
  /** The controller sent an order to an engine. */
  ORDER_GIVEN(Tone.PLAIN, "The controller ordered a change of endpoint %s.", ""),
  /** A configuration was accepted. */
  CONFIGURATION_ACCEPTED(Tone.GOOD, "Configuration %s was accepted.", ""),
  /** A configuration was rejected. */
  CONFIGURATION_REJECTED(
      Tone.BAD,
      "An edit of %s was not accepted; the configuration in force stays.",
      "The configuration report names each place to correct."),
  /** A store of the platform became unavailable or available again. */
  STORE_STATE(
      Tone.WARNING,
      "The state of the platform's %s changed.",
      "While the store is down, calls with an idempotency key are refused as not run."),
  /** A client account reached one of its limits. */
  ACCOUNT_LIMITED(
      Tone.WARNING,
      "Client account %s reached its limit; requests beyond it were refused as not run.",
      "Raise the limits of the account if that load is wanted."),
  /** A decision failed with an exception. */
  DECISION_FAILED(
      Tone.BAD,
      "The entry failed inside while it handled %s; a request concerned was told so.",
      "Report the detail as a fault of this software.");

  /**
   * Maximum time between a cause and its effect. It exceeds the time to detect and repair a
   * failure, so that a later incident has another cause.
   */
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
   * @param kind kind of the incident
   * @param subject endpoint, request or file concerned
   * @param detail additional sentences, may be empty
   * @param atEpochMillis time of the incident in milliseconds since 1970
   */
  public record RecordedIncident(
      String id, IncidentKindText kind, String subject, String detail, long atEpochMillis) {}

  /** Returns the constant with the given name, none if there is no such constant. */
  public static Option<IncidentKindText> forName(String name) {
    return Vector.of(values()).find(kind -> kind.name().equals(name));
  }

  /**
   * Converts recorded incidents for the report. The cause of an incident is the latest incident of
   * another kind in the 30 s before it whose subject is the same or is named in its detail. Without
   * such an incident it has no known cause.
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
        .takeWhile(
            candidate -> effect.atEpochMillis() - candidate.atEpochMillis() <= MAX_CAUSE_AGE_MILLIS)
        .find(
            candidate ->
                candidate.kind() != effect.kind() && mentions(effect, candidate.subject()));
  }

  private static boolean mentions(RecordedIncident effect, String subject) {
    return effect.subject().equals(subject)
        || Vector.of(effect.detail().split("[\\s,;:()]+", -1))
            .exists(word -> word.equals(subject) || word.equals(subject + "."));
  }
}
