package io.zinniawood.standin.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/** Reads and writes JSON and CBOR bodies. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final ObjectMapper CBOR_MAPPER = new ObjectMapper(new CBORFactory());

  private Json() {}

  /** Writes a value as CBOR (RFC 8949). */
  public static byte[] cborBytes(Object value) {
    return write(CBOR_MAPPER, value);
  }

  /**
   * Reads a value from CBOR (RFC 8949).
   *
   * @throws IllegalArgumentException if the body is not a value of the type
   */
  public static <T> T readCbor(byte[] body, Class<T> type) {
    return read(CBOR_MAPPER, body, type);
  }

  /** Writes a value as JSON. */
  public static byte[] bytes(Object value) {
    return write(MAPPER, value);
  }

  private static byte[] write(ObjectMapper mapper, Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("cannot serialise value: " + value, e);
    }
  }

  /**
   * Reads a value from JSON.
   *
   * @throws IllegalArgumentException if the body is not a value of the type
   */
  public static <T> T read(byte[] body, Class<T> type) {
    return read(MAPPER, body, type);
  }

  private static <T> T read(ObjectMapper mapper, byte[] body, Class<T> type) {
    try {
      T value = mapper.readValue(body, type);
      if (value != null) {
        return value;
      }
    } catch (IOException e) {
      throw new IllegalArgumentException(
          "cannot read the body as " + type.getSimpleName() + ": " + e.getMessage(), e);
    }
    throw new IllegalArgumentException(
        "the body is null, but must be a value of type " + type.getSimpleName());
  }
}
