package io.zinniawood.report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.StringReader;
import javax.xml.parsers.DocumentBuilderFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.xml.sax.InputSource;

final class RendererTest {
  private static final String HOSTILE = "<script>alert('x')</script>\"&\u202e\u0000\n";

  // Guards against injection: text of callers or operators must not become markup in the browser.
  @Test
  void htmlEscapesEveryText() {
    String html = new HtmlRenderer().render(report(HOSTILE));
    assertThat(html, not(containsString("<script")));
    assertThat(html, not(containsString("alert('")));
    assertThat(html, not(containsString("\u202e")));
    assertThat(html, containsString("&lt;script&gt;"));
  }

  // Guards against a table that needs horizontal scrolling on a phone of 360 px width.
  @Test
  void htmlTurnsRowsIntoCardsOnNarrowScreens() {
    String html = new HtmlRenderer().render(report("x"));
    assertThat(html, containsString("width=device-width"));
    assertThat(html, containsString("@media(max-width:640px)"));
    assertThat(html, containsString("data-label=\"name x\""));
    assertThat(html, not(containsString("http://")));
  }

  // Guards against malformed markup caused by unusual text; no browser test covers the page.
  @Property(tries = 200, seed = "20261204")
  void htmlBodyIsWellFormedForAnyText(@ForAll String text) throws Exception {
    String html = new HtmlRenderer().render(report(text));
    String body = html.substring(html.indexOf("<body>"), html.indexOf("</html>"));
    DocumentBuilderFactory.newInstance()
        .newDocumentBuilder()
        .parse(new InputSource(new StringReader(body)));
  }

  // Guards against control sequences in terminal output and against misaligned table columns.
  @Test
  void textIsPrintableAndAligned() {
    String text = new TextRenderer().render(report("\u001B[2J"));
    assertThat(text, not(containsString("\u001B")));
    assertThat(
        new TextRenderer().render(report("x")), containsString("name x  value\na           5\n"));
  }

  // Guards against JSON that other programs cannot parse.
  @Test
  void jsonKeepsTextsAndNumbers() throws IOException {
    JsonNode root = new ObjectMapper().readTree(new JsonRenderer().render(report(HOSTILE)));
    JsonNode blocks = root.path("sections").path(0).path("blocks");
    assertThat(root.path("title").asText(), is(HOSTILE));
    assertThat(blocks.path(0).path("tone").asText(), is("bad"));
    assertThat(blocks.path(3).path("series").path(0).path("points").path(1).path(1).asInt(), is(4));
  }

  // Guards against a division by zero in a plot that is empty or has a single point.
  @Test
  void emptyAndSinglePointPlotsAreRendered() {
    Block.Series none = new Block.Series("none", Vector.empty());
    Block.Series zero = new Block.Series("zero", Vector.of(new Block.Point(5, 0)));
    assertThat(SvgPlot.draw(plot(none)), containsString("no values are known"));
    assertThat(SvgPlot.draw(plot(zero)), not(containsString("NaN")));
  }

  // Guards against a share that is rounded to 100 % or 0 % although it is neither.
  @Test
  void percentIsNeverRoundedToZeroOrHundred() {
    assertThat(DisplayFormat.percent(0), is("0 %"));
    assertThat(DisplayFormat.percent(1), is("100 %"));
    assertThat(DisplayFormat.percent(0.5), is("50 %"));
    assertThat(DisplayFormat.percent(0.999), is("99.9 %"));
    assertThat(DisplayFormat.percent(0.99999), is("99.999 %"));
    assertThat(DisplayFormat.percent(0.9999999999), is("over 99.9999 %"));
    assertThat(DisplayFormat.percent(1e-9), is("under 0.0001 %"));
    assertThat(DisplayFormat.duration(90_061_000), is("1 day 1 h"));
  }

  private static Block.Plot plot(Block.Series series) {
    return new Block.Plot("p", "u", Vector.of(series), Vector.empty());
  }

  private static Report report(String text) {
    Block.Series series =
        new Block.Series(text, Vector.of(new Block.Point(0, 1), new Block.Point(60_000, 4)));
    Vector<Block.Column> columns =
        Vector.of(Block.Column.text("name " + text), Block.Column.number("value"));
    return new Report(
        text,
        0,
        text,
        Vector.of(
            Section.of(
                text,
                new Block.Line(Tone.BAD, text),
                new Block.Outline(Vector.of(new Block.Item(1, Tone.GOOD, text))),
                new Block.Table(columns, Vector.of(Vector.of("a", "5"))),
                new Block.Plot(
                    text, text, Vector.of(series), Vector.of(new Block.Limit(text, 2))))));
  }
}
