package io.zinniawood.relay;

/** Which request an endpoint's answer belongs to, by the request id in the answer. */
public enum AnsweredRequest {
  /** The request that waits on the connection. */
  OWN,
  /** Another request; the answer is an extra or late one. */
  OTHER,
  /** Unknown, as the answer carries no request id. */
  UNIDENTIFIED,
  /** Several; the head of another answer has completed the head. */
  AMBIGUOUS
}
