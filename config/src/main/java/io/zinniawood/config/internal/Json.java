package io.zinniawood.config.internal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** JSON mapper for serialised configurations, with limits against malformed input. */
public final class Json {
  /** Largest nesting depth; a serialised configuration has four levels. */
  private static final int MAX_DEPTH = 16;

  /**
   * Rejects duplicate keys, content after the JSON value, and nesting that would exhaust the stack.
   */
  public static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

  private Json() {}
}
