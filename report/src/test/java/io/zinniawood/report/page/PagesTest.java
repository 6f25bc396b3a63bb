package io.zinniawood.report.page;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Report;
import io.zinniawood.report.TextRenderer;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.ObjectiveTarget;
import io.zinniawood.report.slo.Observation;
import org.junit.jupiter.api.Test;

final class PagesTest {
  private static final long NOW = 1_796_364_000_000L;

  // Guards against a report that looks complete although figures of a data centre are missing
  // or outdated.
  @Test
  void serviceLevelReportNamesMissingAndStaleDataCentres() {
    ObjectiveTarget target =
        new ObjectiveTarget("kiosk", "chat", 0.999, Option.of(1300L), Option.none(), 0.95, 0, 28);
    Observation unknown =
        new Observation(
            Observation.Answer.OUTCOME_UNKNOWN,
            Observation.Latency.NOT_MEASURED,
            Option.of("agent lost"));
    ObjectiveCounts counts = ObjectiveCounts.empty("kiosk").with(NOW, unknown);
    String text =
        renderText(
            ServiceLevelReport.of(
                new ServiceLevelReport.Figures(
                    NOW,
                    "entry-1",
                    Vector.of(target),
                    TreeMap.of("kiosk", counts),
                    Vector.of(
                        new DataCentreFreshness("assen", Option.none()),
                        new DataCentreFreshness("tampere", Option.of(NOW - 840_000)),
                        new DataCentreFreshness("helsinki-a", Option.of(NOW))))));
    assertThat(text, containsString("[not known] No figures of assen have arrived."));
    assertThat(text, containsString("The figures of tampere end at"));
    assertThat(text, not(containsString("helsinki-a")));
    assertThat(text, containsString("[bad] The error budget is spent"));
    assertThat(text, containsString("1 request ended with an unknown outcome"));
    assertThat(text, containsString("[not known] No request was counted in 28 days, so nothing"));
    assertThat(text, containsString("agent lost"));
  }

  // Guards against effects that are not listed below their cause and against unproven causes.
  @Test
  void incidentsAreLinkedOnlyToCausesTheyMention() {
    Vector<IncidentsReport.ReportedIncident> incidents =
        IncidentKindText.reportedIncidents(
            Vector.of(
                recordedIncident(
                    "3", IncidentKindText.STAGE_REPLACED, "s7", "It ran on e1.", 2_000),
                recordedIncident("1", IncidentKindText.ENDPOINT_LOST, "e1", "", 1_000),
                recordedIncident(
                    "2", IncidentKindText.STAGE_REPLACED, "s8", "It ran on e11.", 1_500),
                recordedIncident("4", IncidentKindText.ENDPOINT_BACK, "e1", "", 90_000)));
    assertThat(
        incidents.map(
            incident ->
                incident.id() + incident.cause().map(cause -> " by " + cause).getOrElse("")),
        is(Vector.of("1", "2", "3 by 1", "4")));
    String text =
        renderText(
            IncidentsReport.of(
                new IncidentsReport.Figures(NOW, "entry-1", 0, incidents, 5, Vector.empty())));
    assertThat(text, containsString("4 incidents since 1970-01-01 00:00 UTC, from 3 causes."));
    assertThat(
        text,
        containsString(
            "\n  - [warning] 1970-01-01 00:00:02 UTC: A stage of answer s7 was replaced"));
    assertThat(text, containsString("5 incidents older than that are no longer kept."));
  }

  // Guards against a rejected edit that an operator overlooks or cannot locate in the files.
  @Test
  void configurationReportNamesFaultsAndOutdatedProcesses() {
    String text =
        renderText(
            ConfigurationReport.of(
                new ConfigurationReport.Figures(
                    NOW,
                    "entry-1",
                    Option.of(
                        new ConfigurationReport.Accepted(
                            12, "0123456789abcdef", NOW - 5_000, Vector.of("20-kiosk.toml"))),
                    Vector.of(
                        new ConfigurationReport.ProcessGeneration("e1", 12, NOW),
                        new ConfigurationReport.ProcessGeneration("e2", 11, NOW - 2_000)),
                    Option.of(
                        new ConfigurationReport.RejectedEdit(
                            NOW, Vector.of("a.toml:3:1: x"), Vector.of("a.toml version 9"))),
                    Vector.of(
                        new ConfigurationReport.Notice(
                            NOW,
                            ConfigurationReport.overwriteNotice("a.toml", "8", "9", false))))));
    assertThat(text, containsString("Configuration number 12 is in force here since"));
    assertThat(text, containsString("Configuration number 12 stays in force."));
    assertThat(text, containsString("- a.toml:3:1: x\n"));
    assertThat(text, containsString("[warning] 1 of 2 are behind."));
    assertThat(text, containsString("version 8 was never in force and was replaced by version 9"));
  }

  // Guards against an outdated endpoint state that is shown as the current one.
  @Test
  void fleetReportMarksStaleEndpointStates() {
    FleetReport.Endpoint stale =
        new FleetReport.Endpoint(
            "e1", "assen", "chat 0-8", FleetReport.EndpointState.SERVING, 1, 4, NOW - 60_000);
    FleetReport.Endpoint lost =
        new FleetReport.Endpoint(
            "e2", "assen", "chat 8-16", FleetReport.EndpointState.LOST, 0, 4, NOW - 9_000);
    String text =
        renderText(
            FleetReport.of(
                new FleetReport.Figures(
                    NOW,
                    "entry-1",
                    Vector.of(stale, lost),
                    Vector.of(new FleetReport.ServingCount("chat 8-16", 0, 2)),
                    Option.none(),
                    3)));
    assertThat(text, containsString("serving (when last heard)"));
    assertThat(text, containsString("[bad] Endpoint e2 does not answer."));
    assertThat(text, containsString("[bad] chat 8-16: no endpoint serves it"));
    assertThat(text, containsString("It is not known which entry controls the engines."));
    assertThat(text, containsString("3 endpoints more in the VM list"));
  }

  // Guards against refusals by an account limit that its owner cannot tell from failures.
  @Test
  void accountsReportSeparatesLimitsFromFailures() {
    String text =
        renderText(
            AccountsReport.of(
                new AccountsReport.Figures(
                    NOW,
                    "entry-1",
                    NOW - 3_600_000,
                    Vector.of(new AccountsReport.Account("kolikko", 1000, 900, 60, 30, 1, 4, 16)),
                    Vector.empty())));
    assertThat(text, containsString("[warning] kolikko reached its own limit: 60 requests"));
    assertThat(text, containsString("[bad] kolikko: 30 requests were refused as not run"));
    assertThat(text, containsString("[bad] kolikko: the outcome of 1 request is not known."));
    assertThat(text, containsString("90 %"));
  }

  private static IncidentKindText.RecordedIncident recordedIncident(
      String id, IncidentKindText kind, String subject, String detail, long atMillis) {
    return new IncidentKindText.RecordedIncident(id, kind, subject, detail, atMillis);
  }

  private static String renderText(Report report) {
    return new TextRenderer().render(report);
  }
}
