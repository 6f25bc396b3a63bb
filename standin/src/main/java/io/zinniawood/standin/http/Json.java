package io.zinniawood.standin.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads and writes JSON bodies. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, false);

  private Json() {}

  /** Writes a value as JSON. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("value cannot be written as JSON: " + value, e);
    }
  }

  /**
   * Reads a value from JSON.
   *
   * @throws IllegalArgumentException if the body does not fit the type
   */
  public static <T> T read(byte[] body, Class<T> type) {
    try {
      T value = MAPPER.readValue(body, type);
      if (value != null) {
        return value;
      }
    } catch (IOException e) {
      throw new IllegalArgumentException("body is not valid JSON: " + e.getMessage(), e);
    }
    throw new IllegalArgumentException("body is null");
  }
}
