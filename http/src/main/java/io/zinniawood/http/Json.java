package io.zinniawood.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads JSON response bodies with checks. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns the JSON form of a value. */
  public static byte[] toBytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("value cannot be written as JSON: " + value, e);
    }
  }

  /** Parses a body that must be a JSON object. */
  public static JsonNode parseObject(byte[] body) throws MalformedResponseException {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new MalformedResponseException("body is not JSON: " + e.getMessage(), e);
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

  /** Returns a field that must be a text. */
  public static String stringField(JsonNode parent, String field)
      throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isTextual()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a text");
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

  /** Returns a field that must be a whole number in the range of int. */
  public static int intField(JsonNode parent, String field) throws MalformedResponseException {
    long value = longField(parent, field);
    if (value != (int) value) {
      throw new MalformedResponseException("field \"" + field + "\" is out of range: " + value);
    }
    return (int) value;
  }

  /** Returns a field that must be a whole number in the range of long. */
  public static long longField(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a whole number");
    }
    return node.longValue();
  }

  /** Returns a field that must be true or false. */
  public static boolean booleanField(JsonNode parent, String field)
      throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isBoolean()) {
      throw new MalformedResponseException("field \"" + field + "\" is not true or false");
    }
    return node.booleanValue();
  }
}
