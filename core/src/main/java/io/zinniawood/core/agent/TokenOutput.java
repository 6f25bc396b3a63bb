package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Payload;
import java.nio.charset.StandardCharsets;

/**
 * Token of the last stage as a kept output. Encoded as one byte for the finish reason, followed by
 * the text in UTF-8.
 *
 * @param text text of the token
 * @param finish reason why the answer ends with this token, if it does
 */
record TokenOutput(String text, Option<FinishReason> finish) {
  private static final byte NO_FINISH = 0;

  Payload encode() {
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = new byte[utf8.length + 1];
    bytes[0] = finish.map(TokenOutput::finishCode).getOrElse(NO_FINISH);
    System.arraycopy(utf8, 0, bytes, 1, utf8.length);
    return Payload.wrap(bytes);
  }

  /** Decodes a kept output; none if it is malformed, as one from another agent may be. */
  static Option<TokenOutput> decode(Payload payload) {
    byte[] bytes = payload.bytes();
    if (bytes.length == 0) {
      return Option.none();
    }
    Option<FinishReason> finish =
        Vector.of(FinishReason.values()).find(reason -> finishCode(reason) == bytes[0]);
    if (finish.isEmpty() && bytes[0] != NO_FINISH) {
      return Option.none();
    }
    return Option.some(
        new TokenOutput(new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8), finish));
  }

  private static byte finishCode(FinishReason reason) {
    return switch (reason) {
      case STOP -> 1;
      case LENGTH -> 2;
    };
  }
}
