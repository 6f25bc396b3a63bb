package io.zinniawood.report;

/** Renders a report in one output format. */
@FunctionalInterface
public interface Renderer {
  /** Returns the whole report as a document of the format. */
  String render(Report report);
}
