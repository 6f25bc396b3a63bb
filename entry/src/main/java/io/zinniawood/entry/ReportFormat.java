package io.zinniawood.entry;

/** Output format of a report. */
public enum ReportFormat {
  /** HTML page for a browser. */
  HTML("text/html; charset=utf-8"),
  /** Plain text. */
  TEXT("text/plain; charset=utf-8"),
  /** JSON document. */
  JSON("application/json");

  private final String mediaType;

  ReportFormat(String mediaType) {
    this.mediaType = mediaType;
  }

  /** Returns the value of the {@code Content-Type} header. */
  public String mediaType() {
    return mediaType;
  }
}
