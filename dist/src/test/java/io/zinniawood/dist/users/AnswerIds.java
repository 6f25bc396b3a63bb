package io.zinniawood.dist.users;

/** Ids in the heads of an answer and of its repetition. */
record AnswerIds(String signature, String request) {
  private static final String REPEATED_BODY = "ok";

  /** Returns the start of a head, without the framing of the body. */
  String head(int status) {
    return "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nReplica-Signature: %s\r\n"
        .formatted(status, request, signature);
  }

  /** Returns the second answer to a request that has been answered. */
  String repetition(AnswerFraming framing) {
    return head(200)
        + framing.endOfHead(REPEATED_BODY.length())
        + framing.part(REPEATED_BODY)
        + framing.end();
  }
}
