package io.zinniawood.core.relay;

import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import java.util.StringJoiner;

/** Formats a path for log lines, as in {@code a=0-5,b=5-10}; the end layer is exclusive. */
final class PathFormatter {
  private PathFormatter() {}

  static String format(LayerPath path) {
    StringJoiner text = new StringJoiner(",");
    for (PathPart part : path.parts()) {
      text.add(
          part.endpoint().value()
              + "="
              + part.layers().fromLayer()
              + "-"
              + part.layers().toLayerExclusive());
    }
    return text.toString();
  }
}
