package io.zinniawood.cli.explain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestTimelineTest {
  private static BufferedReader log(String text) {
    return new BufferedReader(new StringReader(text.replace('\'', '"')));
  }

  // Lines of several processes are told in the order of their time, with the cause at the end.
  @Test
  void ordersTheLinesOfAllProcesses() throws IOException {
    RequestTimeline story = new RequestTimeline("r-1");
    story.addLines(
        "two.log",
        log(
            """
            {'timestamp':'2026-12-04T00:00:02Z','event':'request-ended','request':'r-1',\
            'outcome':'unknown','reason':'connection-lost'}
            {'timestamp':'2026-12-04T00:00:02Z','event':'request-ended','request':'r-2'}
            """));
    story.addLines(
        "one.log",
        log(
            "{'timestamp':'2026-12-04T00:00:01Z','event':'request-sent','request':'r-1',"
                + "'endpoint':'i-7'}"));
    List<String> told = story.render();
    assertThat(told.size(), is(3));
    assertThat(told.get(0), containsString("one.log  request-sent endpoint=i-7"));
    assertThat(told.get(2), is("cause: unknown, connection-lost"));
  }

  // A log that was cut within a line, or has lines of other programs, must not hide the rest.
  @Test
  void countsAndSkipsUnreadableLines() throws IOException {
    RequestTimeline story = new RequestTimeline("r-1");
    story.addLines(
        "one.log",
        log(
            """
            OpenJDK warning
            {'timestamp':'2026-12-04T00:00:01Z','event':'request-refused','request':'r-1',\
            'reason':'no-route'}
            {'timestamp':'2026-12
            """));
    assertThat(story.unreadableLines(), is(2L));
    assertThat(story.hasLines(), is(true));
    assertThat(story.render().get(1), is("cause: refused on arrival, no-route"));
  }

  // Without a last line the process ended first; the story must not name another cause.
  @Test
  void saysSoIfTheEndIsMissing() throws IOException {
    RequestTimeline story = new RequestTimeline("r-1");
    story.addLines(
        "one.log",
        log("{'timestamp':'2026-12-04T00:00:01Z','event':'request-sent','request':'r-1'}"));
    assertThat(story.render().get(1), containsString("not in these logs"));
  }
}
