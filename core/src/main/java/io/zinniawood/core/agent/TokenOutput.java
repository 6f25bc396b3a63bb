package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Payload;
import java.nio.charset.StandardCharsets;

/**
 * Token of the last stage in the form in which outputs are kept: one byte for the finish reason,
 * then the text in UTF-8.
 *
 * @param text text of the token
 * @param finish reason why the answer ends
 */
record TokenOutput(String text, Option<FinishReason> finish) {
  Payload encode() {
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = new byte[utf8.length + 1];
    bytes[0] = (byte) (finish.map(FinishReason::ordinal).getOrElse(-1) + 1);
    System.arraycopy(utf8, 0, bytes, 1, utf8.length);
    return Payload.wrap(bytes);
  }

  /** Decodes a kept output; one that another agent sent may be malformed. */
  static Option<TokenOutput> decode(Payload payload) {
    byte[] bytes = payload.bytes();
    if (bytes.length == 0 || bytes[0] < 0 || bytes[0] > FinishReason.values().length) {
      return Option.none();
    }
    Option<FinishReason> finish =
        bytes[0] == 0 ? Option.none() : Option.some(FinishReason.values()[bytes[0] - 1]);
    return Option.some(
        new TokenOutput(new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8), finish));
  }
}
