package io.zinniawood.http;

/** How a client found the end of a response. */
public enum ResponseEnd {
  /** The response showed its end by a length or its last chunk, or cannot have a body. */
  STATED,
  /**
   * The connection ended (RFC 9112, section 6.3). The operating system ends the connections of a
   * killed process in the same way, so bytes may be missing.
   */
  OF_CONNECTION
}
