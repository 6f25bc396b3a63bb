package io.zinniawood.core.path;

import io.zinniawood.core.id.EndpointId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Path of one request through the endpoints: covers each layer once and in order, and visits each
 * endpoint at most once.
 *
 * @param parts layer ranges and their endpoints, ordered by layer
 */
public record LayerPath(List<PathPart> parts) {
  /** Maximum number of parts that the engines accept in one path. */
  public static final int MAX_PARTS = 32;

  /** Rejects a path with a gap, an overlap or a repeated endpoint. */
  public LayerPath {
    parts = List.copyOf(parts);
    if (parts.isEmpty() || parts.size() > MAX_PARTS) {
      throw new IllegalArgumentException(
          "a path must have 1 to %d parts, but this one has %d".formatted(MAX_PARTS, parts.size()));
    }
    Set<EndpointId> seen = new HashSet<>();
    int layer = 0;
    for (PathPart part : parts) {
      if (part.layers().fromLayer() != layer || !seen.add(part.endpoint())) {
        throw new IllegalArgumentException(
            "path %s has a gap, an overlap or a repeated endpoint at layer %d"
                .formatted(parts, layer));
      }
      layer = part.layers().toLayerExclusive();
    }
  }

  /** Returns the part whose endpoint receives the request. */
  public PathPart first() {
    return parts.get(0);
  }

  /** Returns whether an endpoint is on the path. */
  public boolean contains(EndpointId endpoint) {
    for (PathPart part : parts) {
      if (part.endpoint().equals(endpoint)) {
        return true;
      }
    }
    return false;
  }
}
