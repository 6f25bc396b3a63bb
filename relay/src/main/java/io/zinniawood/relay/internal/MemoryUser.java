package io.zinniawood.relay.internal;

/** Kinds of bytes whose amount is decided by a peer, each with its share of the memory. */
public enum MemoryUser {
  /** Answers to control calls; a full page of rows is one megabyte before base64 encoding. */
  CONTROL_ANSWERS("control-answers", 8, 2 * 1024 * 1024),
  /** Bodies of callers' requests, until the request ends. */
  CALLER_REQUESTS("caller-requests", 4, 8 * 1024 * 1024),
  /** Answers that are buffered until they are complete, and then until the caller takes them. */
  ENDPOINT_ANSWERS("endpoint-answers", 4, 4 * 1024 * 1024),
  /** Events of streams that callers have not taken yet. */
  STREAMED_ANSWERS("streamed-answers", 8, 0),
  /**
   * Heads, queued messages and unsent answers of callers' connections, mostly in the heap; the
   * divisor applies to the maximum size of the heap.
   */
  CALLER_CONNECTIONS("caller-connections", 4, 0);

  private final String text;
  private final int divisor;
  private final int maxBufferBytes;

  MemoryUser(String text, int divisor, int maxBufferBytes) {
    this.text = text;
    this.divisor = divisor;
    this.maxBufferBytes = maxBufferBytes;
  }

  /** Returns the name in log lines and metrics. */
  public String text() {
    return text;
  }

  /** Returns the divisor of the memory of the process that gives the share. */
  int divisor() {
    return divisor;
  }

  /** Returns the maximum size of one message. */
  int maxBufferBytes() {
    return maxBufferBytes;
  }
}
