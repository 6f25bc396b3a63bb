package io.zinniawood.dist.users;

/** Way in which an answer shows where its body ends. */
enum AnswerFraming {
  LENGTH("Content-Length: %d"),
  CHUNKS("Transfer-Encoding: chunked"),
  CONNECTION("Connection: close");

  private final String header;

  AnswerFraming(String header) {
    this.header = header;
  }

  /** Returns the last header of an answer, and the end of its head. */
  String endOfHead(int bodyBytes) {
    return header.formatted(bodyBytes) + "\r\n\r\n";
  }

  /** Returns the start of a part of a body. */
  String startOfPart(int bytes) {
    return this == CHUNKS ? Integer.toHexString(bytes) + "\r\n" : "";
  }

  /** Returns a part of a body; an empty part would end an answer in chunks. */
  String part(String text) {
    if (this != CHUNKS || text.isEmpty()) {
      return text;
    }
    return startOfPart(text.length()) + text + "\r\n";
  }

  /** Returns the end of a body in good form. */
  String end() {
    return this == CHUNKS ? "0\r\n\r\n" : "";
  }

  boolean keepsConnection() {
    return this != CONNECTION;
  }
}
