package io.zinniawood.entry;

/** Format of a report. */
public enum ReportFormat {
  /** Page for a browser. */
  HTML("text/html; charset=utf-8"),
  /** Plain text. */
  TEXT("text/plain; charset=utf-8"),
  /** JSON document. */
  JSON("application/json");

  private final String mediaType;

  ReportFormat(String mediaType) {
    this.mediaType = mediaType;
  }

  /** Returns the media type of the format. */
  public String mediaType() {
    return mediaType;
  }
}
