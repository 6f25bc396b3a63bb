package io.zinniawood.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * JSON object with an array whose elements are not interpreted, so that each can be parsed by
 * itself and one that cannot be read does not hide the others.
 *
 * @param object the object, with an empty array
 * @param elements bytes of the elements that are objects
 * @param otherElements number of elements that are no objects
 */
public record JsonElements(JsonNode object, List<byte[]> elements, int otherElements) {
  /** Maximum nesting within an element; bounds the memory for the nesting of a parser. */
  private static final int MAX_NESTING_DEPTH = 200_000;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_NESTING_DEPTH)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .maxStringLength(Integer.MAX_VALUE)
                  .maxNameLength(Integer.MAX_VALUE)
                  .build())
          .build();

  /** Makes an unmodifiable copy of the list. */
  public JsonElements {
    elements = List.copyOf(elements);
  }

  /**
   * Splits a body.
   *
   * @param arrayField field of the body that must be an array
   * @throws MalformedResponseException if the body is no such object
   */
  public static JsonElements parse(byte[] body, String arrayField)
      throws MalformedResponseException {
    try (JsonParser parser = FACTORY.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedResponseException("body is not a JSON object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String field = parser.currentName();
        JsonToken value = parser.nextToken();
        if (arrayField.equals(field) && value == JsonToken.START_ARRAY) {
          return split(body, parser);
        }
        parser.skipChildren();
      }
    } catch (IOException e) {
      throw new MalformedResponseException("body is not valid JSON: " + e.getMessage(), e);
    }
    throw new MalformedResponseException("field \"" + arrayField + "\" is not an array");
  }

  private static JsonElements split(byte[] body, JsonParser parser)
      throws IOException, MalformedResponseException {
    int arrayStart = (int) parser.currentTokenLocation().getByteOffset();
    List<byte[]> elements = new ArrayList<>();
    int otherElements = 0;
    JsonToken element = parser.nextToken();
    while (element != JsonToken.END_ARRAY) {
      int start = (int) parser.currentTokenLocation().getByteOffset();
      parser.skipChildren();
      if (element == JsonToken.START_OBJECT) {
        int end = (int) parser.currentLocation().getByteOffset();
        elements.add(Arrays.copyOfRange(body, start, end));
      } else {
        otherElements++;
      }
      element = parser.nextToken();
    }
    int arrayEnd = (int) parser.currentLocation().getByteOffset();
    ByteArrayOutputStream object = new ByteArrayOutputStream();
    object.write(body, 0, arrayStart);
    object.write('[');
    object.write(']');
    object.write(body, arrayEnd, body.length - arrayEnd);
    return new JsonElements(Json.parseObject(object.toByteArray()), elements, otherElements);
  }
}
