package io.zinniawood.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;

/** Converts a JSON object with the tables and keys of the folder to a value tree. */
public final class JsonTree {
  private JsonTree() {}

  /** Returns the tree; it keeps keys that are not in the schema, which readers ignore. */
  public static ValueTree read(JsonNode root) {
    Map<Vector<String>, LocatedValue> values = HashMap.empty();
    Map<Vector<String>, LocatedValue> tables = HashMap.empty();
    Vector<Vector<String>> pending = Vector.of(Vector.empty());
    while (!pending.isEmpty()) {
      Vector<String> path = pending.head();
      pending = pending.tail();
      JsonNode node = path.foldLeft(root, JsonNode::get);
      for (var entry : node.properties()) {
        Vector<String> child = path.append(entry.getKey());
        JsonNode value = entry.getValue();
        if (value.isObject() && child.size() <= 2) {
          tables = tables.put(child, new LocatedValue("", 1, 1, ""));
          pending = pending.append(child);
        } else {
          values = values.put(child, new LocatedValue("", 1, 1, toValue(value)));
        }
      }
    }
    return new ValueTree(values, tables);
  }

  private static Object toValue(JsonNode node) {
    if (node.isArray()) {
      return Vector.ofAll(node)
          .map(
              item ->
                  item.isTextual() ? item.textValue() : new LocatedValue.Unsupported("an item"));
    }
    if (node.isIntegralNumber() && node.canConvertToLong()) {
      return node.longValue();
    }
    if (node.isFloatingPointNumber()) {
      return node.doubleValue();
    }
    return node.isTextual()
        ? node.textValue()
        : new LocatedValue.Unsupported(node.getNodeType().name());
  }
}
