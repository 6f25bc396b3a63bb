package io.zinniawood.core.relay;

/** What was heard from the endpoint of an answer after its end. The names appear in the log. */
public enum EndpointSign {
  /** The process that sent the answer has reported after the end. */
  ALIVE,
  /** A process has answered at its address after the end, without saying which one it is. */
  UNNAMED,
  /** Another process has answered at its address. */
  OTHER_PROCESS,
  /** Nothing was heard in time. */
  NONE
}
