package io.zinniawood.report;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/** Renders a report as JSON for other programs. */
public final class JsonRenderer implements Renderer {
  @Override
  public String render(Report report) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("title", report.title());
    root.put("written_epoch_ms", report.writtenEpochMillis());
    root.put("writer", report.writer());
    ArrayNode sections = root.putArray("sections");
    for (Section section : report.sections()) {
      ObjectNode node = sections.addObject();
      node.put("title", section.title());
      ArrayNode blocks = node.putArray("blocks");
      section.blocks().forEach(block -> blocks.add(block.accept(new BlockRenderer())));
    }
    return root.toPrettyString() + "\n";
  }

  private static final class BlockRenderer implements BlockVisitor<ObjectNode> {
    @Override
    public ObjectNode visitLine(Block.Line line) {
      return node("line").put("tone", toneName(line.tone())).put("text", line.text());
    }

    @Override
    public ObjectNode visitOutline(Block.Outline outline) {
      ObjectNode node = node("outline");
      ArrayNode items = node.putArray("items");
      for (Block.Item item : outline.items()) {
        items
            .addObject()
            .put("depth", item.depth())
            .put("tone", toneName(item.tone()))
            .put("text", item.text());
      }
      return node;
    }

    @Override
    public ObjectNode visitTable(Block.Table table) {
      ObjectNode node = node("table");
      ArrayNode columns = node.putArray("columns");
      table.columns().forEach(column -> columns.add(column.title()));
      ArrayNode rows = node.putArray("rows");
      table
          .rows()
          .forEach(
              row -> {
                ArrayNode cells = rows.addArray();
                row.forEach(cells::add);
              });
      return node;
    }

    @Override
    public ObjectNode visitPlot(Block.Plot plot) {
      ObjectNode node = node("plot").put("title", plot.title()).put("unit", plot.unit());
      ArrayNode series = node.putArray("series");
      for (Block.Series line : plot.series()) {
        ObjectNode lineNode = series.addObject().put("name", line.name());
        ArrayNode points = lineNode.putArray("points");
        line.points()
            .forEach(point -> points.addArray().add(point.epochMillis()).add(point.value()));
      }
      ArrayNode limits = node.putArray("limits");
      plot.limits()
          .forEach(
              limit -> limits.addObject().put("name", limit.name()).put("value", limit.value()));
      return node;
    }

    private static ObjectNode node(String type) {
      return JsonNodeFactory.instance.objectNode().put("type", type);
    }

    private static String toneName(Tone tone) {
      return tone.name().toLowerCase(Locale.ROOT);
    }
  }
}
