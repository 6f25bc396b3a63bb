package io.zinniawood.report;

import io.vavr.collection.Vector;
import java.util.Locale;

/** Renders a report as a single HTML page without scripts, for screens from 360 px width. */
public final class HtmlRenderer implements Renderer {
  /** Table rows become cards below 640 px, because four columns do not fit side by side. */
  private static final String STYLE =
      """
      :root{color-scheme:light dark;--line:#8885;--bad:#b3261e;--warn:#8a5a00;--good:#1b6e33}
      @media(prefers-color-scheme:dark){:root{--bad:#ff8a80;--warn:#ffc46b;--good:#7fd99a}}
      body{font:1rem/1.45 system-ui,sans-serif;margin:0 auto;padding:.75rem;max-width:60rem;
      overflow-wrap:anywhere}
      h1{font-size:1.35rem;margin:.2rem 0}h2{font-size:1.1rem;margin:1.4rem 0 .4rem}
      p{margin:.35rem 0}ul{margin:.35rem 0;padding:0;list-style:none}
      li{margin:.3rem 0;padding-left:.5rem;border-left:3px solid var(--line)}
      .d1{margin-left:1rem}.d2{margin-left:2rem}.d3{margin-left:3rem}
      .written{opacity:.75;font-size:.9rem}
      .bad{color:var(--bad);font-weight:600}.warning{color:var(--warn);font-weight:600}
      .good{color:var(--good)}.unknown{font-style:italic}
      table{border-collapse:collapse;width:100%;font-size:.95rem}
      th,td{text-align:left;padding:.25rem .5rem;border-bottom:1px solid var(--line)}
      .n{text-align:right;font-variant-numeric:tabular-nums}
      figure{margin:.5rem 0}svg{width:100%;height:auto;max-width:40rem}
      figcaption{font-size:.9rem}
      @media(max-width:640px){thead{position:absolute;clip-path:inset(50%);height:1px;width:1px;
      overflow:hidden}tr{display:block;border:1px solid var(--line);border-radius:.4rem;
      margin:.5rem 0;padding:.25rem}td{display:flex;justify-content:space-between;gap:1rem;
      border:0;padding:.15rem .4rem}td::before{content:attr(data-label);font-weight:600;
      text-align:left}td.n,td{text-align:right}
      td:first-child{justify-content:flex-start;font-weight:600;text-align:left}
      td:first-child::before{content:none}}
      """;

  @Override
  public String render(Report report) {
    StringBuilder page = new StringBuilder(4096);
    page.append("<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n")
        .append("<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n")
        .append("<title>")
        .append(escape(report.title()))
        .append("</title>\n<style>\n")
        .append(STYLE)
        .append("</style>\n</head>\n<body>\n<h1>")
        .append(escape(report.title()))
        .append("</h1>\n<p class=\"written\">Written ")
        .append(escape(DisplayFormat.timeToSecond(report.writtenEpochMillis())))
        .append(" by ")
        .append(escape(report.writer()))
        .append(".</p>\n");
    for (Section section : report.sections()) {
      page.append("<section>\n<h2>").append(escape(section.title())).append("</h2>\n");
      section.blocks().forEach(block -> page.append(block.accept(new BlockRenderer())));
      page.append("</section>\n");
    }
    return page.append("</body>\n</html>\n").toString();
  }

  /** Escapes text for element content and quoted attributes. */
  static String escape(String text) {
    return DisplayFormat.printable(text)
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")
        .replace("'", "&#39;");
  }

  private static String toneClass(Tone tone) {
    return tone == Tone.PLAIN ? "" : tone.name().toLowerCase(Locale.ROOT);
  }

  private static final class BlockRenderer implements BlockVisitor<String> {
    private static final int MAX_INDENT_LEVEL = 3;

    @Override
    public String visitLine(Block.Line line) {
      return "<p%s>%s</p>\n".formatted(classAttribute(toneClass(line.tone())), escape(line.text()));
    }

    @Override
    public String visitOutline(Block.Outline outline) {
      return outline
          .items()
          .map(
              item ->
                  "<li%s>%s</li>\n"
                      .formatted(
                          classAttribute(
                              item.depth() == 0
                                  ? ""
                                  : "d" + Math.min(MAX_INDENT_LEVEL, item.depth()),
                              toneClass(item.tone())),
                          escape(item.text())))
          .mkString("<ul>\n", "", "</ul>\n");
    }

    @Override
    public String visitTable(Block.Table table) {
      StringBuilder html = new StringBuilder("<table>\n<thead><tr>");
      for (Block.Column column : table.columns()) {
        html.append(
            "<th%s>%s</th>".formatted(classAttribute(numberClass(column)), escape(column.title())));
      }
      html.append("</tr></thead>\n<tbody>\n");
      for (Vector<String> row : table.rows()) {
        html.append("<tr>");
        for (int i = 0; i < row.size(); i++) {
          Block.Column column = table.columns().get(i);
          html.append(
              "<td%s data-label=\"%s\"><span>%s</span></td>"
                  .formatted(
                      classAttribute(numberClass(column)),
                      escape(column.title()),
                      escape(row.get(i))));
        }
        html.append("</tr>\n");
      }
      return html.append("</tbody>\n</table>\n").toString();
    }

    @Override
    public String visitPlot(Block.Plot plot) {
      return SvgPlot.draw(plot);
    }

    private static String numberClass(Block.Column column) {
      return column.alignment() == Block.Alignment.RIGHT ? "n" : "";
    }

    private static String classAttribute(String... names) {
      Vector<String> present = Vector.of(names).filter(name -> !name.isEmpty());
      return present.isEmpty() ? "" : " class=\"%s\"".formatted(present.mkString(" "));
    }
  }
}
