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

  // Guards against events of several processes in the order of the files instead of the timestamps.
  @Test
  void ordersEventsOfAllProcessesByTimestamp() throws IOException {
    RequestTimeline timeline = new RequestTimeline("r-1");
    timeline.addLines(
        "two.log",
        log(
            """
            {'timestamp':'2026-12-04T00:00:02Z','event':'request-ended','request':'r-1',\
            'outcome':'unknown','reason':'connection-lost'}
            {'timestamp':'2026-12-04T00:00:02Z','event':'request-ended','request':'r-2'}
            """));
    timeline.addLines(
        "one.log",
        log(
            "{'timestamp':'2026-12-04T00:00:01Z','event':'request-sent','request':'r-1',"
                + "'endpoint':'i-7'}"));
    List<String> rendered = timeline.render();
    assertThat(rendered.size(), is(3));
    assertThat(rendered.get(0), containsString("one.log  request-sent endpoint=i-7"));
    assertThat(rendered.get(2), is("cause: unknown, connection-lost"));
  }

  // Guards against a truncated line, or a line of another program, that hides the rest of the log.
  @Test
  void countsAndSkipsUnreadableLines() throws IOException {
    RequestTimeline timeline = new RequestTimeline("r-1");
    timeline.addLines(
        "one.log",
        log(
            """
            OpenJDK warning
            {'timestamp':'2026-12-04T00:00:01Z','event':'request-refused','request':'r-1',\
            'reason':'no-route'}
            {'timestamp':'2026-12
            """));
    assertThat(timeline.unreadableLines(), is(2L));
    assertThat(timeline.hasLines(), is(true));
    assertThat(timeline.render().get(1), is("cause: refused on arrival, no-route"));
  }

  // Guards against a made-up cause when the process ended before it logged the end of the request.
  @Test
  void reportsUnknownCauseIfEndIsMissing() throws IOException {
    RequestTimeline timeline = new RequestTimeline("r-1");
    timeline.addLines(
        "one.log",
        log("{'timestamp':'2026-12-04T00:00:01Z','event':'request-sent','request':'r-1'}"));
    assertThat(timeline.render().get(1), containsString("not in these logs"));
  }
}
