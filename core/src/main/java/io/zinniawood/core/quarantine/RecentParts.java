package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The parts that were added last, up to a maximum number. */
final class RecentParts {
  private final int capacity;
  private final Set<PromptPartId> parts = new LinkedHashSet<>();

  RecentParts(int capacity) {
    this.capacity = capacity;
  }

  void add(PromptPartId part) {
    parts.remove(part);
    parts.add(part);
    if (parts.size() > capacity) {
      Iterator<PromptPartId> oldest = parts.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  List<PromptPartId> all() {
    return List.copyOf(parts);
  }
}
