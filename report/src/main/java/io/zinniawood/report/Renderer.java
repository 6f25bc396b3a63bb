package io.zinniawood.report;

/** Writes a report in one format. */
@FunctionalInterface
public interface Renderer {
  /** Returns the report as text of the format. */
  String render(Report report);
}
