package io.zinniawood.entry.acceptance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.id.Generation;
import io.zinniawood.report.TextRenderer;
import io.zinniawood.report.page.ConfigurationReport;
import org.junit.jupiter.api.Test;

final class AcceptanceJournalTest {
  private final AcceptanceJournal journal = new AcceptanceJournal(() -> 1_796_364_000_000L);

  // Guards against a report that still shows a rejected edit after the edit was undone.
  @Test
  void rejectionIsShownUntilTheEditIsUndone() {
    journal.accept(
        new AcceptanceNotice.Rejected(
            new Generation(0),
            Vector.of("a.toml:1:1: found 0"),
            Vector.of(new FileVersion("a.toml", "7"))));
    assertThat(report(), containsString("- a.toml:1:1: found 0"));
    assertThat(report(), containsString("Files read: a.toml version 7."));
    journal.accept(new AcceptanceNotice.Unchanged(new Generation(0)));
    assertThat(report(), not(containsString("Not accepted")));
  }

  // Guards against an unbounded number of notices during a store outage.
  @Test
  void reportNoticesAreBounded() {
    for (int failures = 1; failures <= 500; failures++) {
      journal.accept(new AcceptanceNotice.StoreTrouble("connection refused", failures));
    }
    assertThat(report(), containsString("(500 times in a row)"));
    assertThat(report(), not(containsString("(450 times in a row)")));
  }

  private String report() {
    return new TextRenderer()
        .render(ConfigurationReport.of(journal.figures("entry-1", Vector.empty())));
  }
}
