package io.zinniawood.core.frame;

/**
 * Whether the body of a response holds the head of another response. A server that breaks off
 * within a body and then sends another response on the connection fills the frame of the first one.
 */
public enum ForeignHead {
  /** The body holds no head of a response. */
  ABSENT,
  /** The body ends within what may be a head; what follows on the connection would show it. */
  POSSIBLE,
  /** The body holds a head that names a request of this connection. */
  PRESENT
}
