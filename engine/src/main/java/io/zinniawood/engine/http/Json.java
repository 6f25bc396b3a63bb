package io.zinniawood.engine.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads JSON response bodies with checks. */
final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("value cannot be written as JSON: " + value, e);
    }
  }

  static JsonNode object(byte[] body) throws MalformedResponseException {
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

  static JsonNode array(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isArray()) {
      throw new MalformedResponseException("field \"" + field + "\" is not an array");
    }
    return node;
  }

  static String text(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isTextual()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a text");
    }
    return node.textValue();
  }

  static double decimal(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isNumber()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a number");
    }
    return node.doubleValue();
  }

  static int integer(JsonNode parent, String field) throws MalformedResponseException {
    long value = number(parent, field);
    if (value != (int) value) {
      throw new MalformedResponseException("field \"" + field + "\" is out of range: " + value);
    }
    return (int) value;
  }

  static long number(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new MalformedResponseException("field \"" + field + "\" is not a whole number");
    }
    return node.longValue();
  }

  static boolean flag(JsonNode parent, String field) throws MalformedResponseException {
    JsonNode node = parent.path(field);
    if (!node.isBoolean()) {
      throw new MalformedResponseException("field \"" + field + "\" is not true or false");
    }
    return node.booleanValue();
  }
}
