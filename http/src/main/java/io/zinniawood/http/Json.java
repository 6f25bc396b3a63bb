package io.zinniawood.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Writes JSON bodies, and reads them with checks of field types. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Serialises a value to JSON. */
  public static byte[] toBytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("cannot serialise value to JSON: " + value, e);
    }
  }

  /** Parses a body that must be a JSON object. */
  public static JsonNode parseObject(byte[] body) throws MalformedResponseException {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new MalformedResponseException("body is not valid JSON: " + e.getMessage(), e);
    }
    if (node == null || !node.isObject()) {
      throw new MalformedResponseException("body is not a JSON object");
    }
    return node;
  }

  /** Returns a field that must be an array. */
  public static JsonNode arrayField(JsonNode parent, String field)
      throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isArray()) {
      throw new MalformedResponseException("field \"" + field + "\" is not an array");
    }
    return node;
  }

  /** Returns a field that must be a string. */
  public static String stringField(JsonNode parent, String field)
      throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isTextual()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a string");
    }
    return node.textValue();
  }

  /** Returns a field that must be a number. */
  public static double doubleField(JsonNode parent, String field)
      throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isNumber()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a number");
    }
    return node.doubleValue();
  }

  /** Returns a field that must be an integer in the range of int. */
  public static int intField(JsonNode parent, String field) throws MalformedResponseException {
    long value = longField(parent, field);
    if (value != (int) value) {
      throw new MalformedResponseException(
          "field \"" + field + "\" is out of the range of int: " + value);
    }
    return (int) value;
  }

  /** Returns a field that must be an integer in the range of long. */
  public static long longField(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new MalformedResponseException(
          "field \"" + field + "\" is not an integer in the range of long");
    }
    return node.longValue();
  }

  /** Returns a field that must be a boolean. */
  public static boolean booleanField(JsonNode parent, String field)
      throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isBoolean()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a boolean");
    }
    return node.booleanValue();
  }
}
