package io.zinniawood.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;

/** Supplies the report pages of the admin port. */
public interface ReportSource {
  /** Returns the report names for the index page; they consist of letters, digits and hyphens. */
  Vector<String> names();

  /**
   * Renders a report; none if the name is unknown. Must not block, as it is called on an I/O
   * thread.
   */
  CompletableFuture<Option<String>> render(String name, ReportFormat format);

  /** Returns a source without reports. */
  static ReportSource none() {
    return new ReportSource() {
      @Override
      public Vector<String> names() {
        return Vector.empty();
      }

      @Override
      public CompletableFuture<Option<String>> render(String name, ReportFormat format) {
        return CompletableFuture.completedFuture(Option.none());
      }
    };
  }
}
