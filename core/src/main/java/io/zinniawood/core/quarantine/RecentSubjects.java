package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The subjects that were added last, up to a maximum number. */
final class RecentSubjects {
  private final int capacity;
  private final Set<CrashSubject> subjects = new LinkedHashSet<>();

  RecentSubjects(int capacity) {
    this.capacity = capacity;
  }

  void add(CrashSubject subject) {
    subjects.remove(subject);
    subjects.add(subject);
    if (subjects.size() > capacity) {
      Iterator<CrashSubject> oldest = subjects.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  List<CrashSubject> all() {
    return List.copyOf(subjects);
  }
}
