package io.zinniawood.core.path;

import io.zinniawood.core.id.EndpointId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Path of one request: each layer once and in order, each endpoint at most once.
 *
 * @param parts parts in the order of their layers
 */
public record LayerPath(List<PathPart> parts) {
  /** Most parts that the engines accept in one path. */
  public static final int MAX_PARTS = 32;

  /** Copies the parts and checks that they join without gap, overlap or repeated endpoint. */
  public LayerPath {
    parts = List.copyOf(parts);
    if (parts.isEmpty() || parts.size() > MAX_PARTS) {
      throw new IllegalArgumentException(
          "a path has 1 to %d parts, but this one has %d".formatted(MAX_PARTS, parts.size()));
    }
    Set<EndpointId> seen = new HashSet<>();
    int layer = 0;
    for (PathPart part : parts) {
      if (part.layers().fromLayer() != layer || !seen.add(part.endpoint())) {
        throw new IllegalArgumentException("parts of the path %s do not join".formatted(parts));
      }
      layer = part.layers().toLayerExclusive();
    }
  }

  /** Returns the part that receives the request. */
  public PathPart first() {
    return parts.get(0);
  }

  /** Tells whether an endpoint is on the path. */
  public boolean contains(EndpointId endpoint) {
    for (PathPart part : parts) {
      if (part.endpoint().equals(endpoint)) {
        return true;
      }
    }
    return false;
  }
}
