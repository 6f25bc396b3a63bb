package io.zinniawood.store.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.http.Json;
import io.zinniawood.http.MalformedResponseException;
import java.io.IOException;

/**
 * Encodes claim rows as JSON and decodes them. Bodies are encoded as Base64; the decoder ignores
 * unknown fields.
 */
public final class ClaimRowCodec {
  private final ObjectMapper mapper = new ObjectMapper();

  /** Returns the JSON form of a row. */
  public byte[] encode(ClaimRow row) {
    ObjectNode json = mapper.createObjectNode();
    json.put("owner", row.owner().value());
    // Encoded as text because some JSON parsers read numbers as doubles and lose the low bits.
    json.put("incarnation", Long.toString(row.incarnation().value()));
    json.put("attempt", row.attempt().value());
    json.put("requestDigest", row.requestDigest());
    json.put("state", row.state().name());
    json.put("fence", row.fence().value());
    row.answer().forEach(answer -> json.set("answer", encodeAnswer(answer)));
    try {
      return mapper.writeValueAsBytes(json);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException("cannot serialize the JSON tree of a claim row", exception);
    }
  }

  private ObjectNode encodeAnswer(ServiceAnswer answer) {
    ObjectNode json = mapper.createObjectNode();
    json.put("status", answer.status());
    ArrayNode headers = json.putArray("headers");
    for (HttpHeader header : answer.headers()) {
      headers.addObject().put("name", header.name()).put("value", header.value());
    }
    json.put("body", answer.body().bytes());
    return json;
  }

  /** Decodes a row; returns an error if the value is not a valid claim row. */
  public Either<ClaimRowDecodeError, ClaimRow> decode(byte[] value) {
    try {
      return Either.right(decodeRow(mapper.readTree(value)));
    } catch (JsonProcessingException malformed) {
      return Either.left(new ClaimRowDecodeError("claim row is not valid JSON"));
    } catch (IOException | IllegalArgumentException | MalformedResponseException invalid) {
      return Either.left(new ClaimRowDecodeError("claim row is invalid: " + invalid.getMessage()));
    }
  }

  private static ClaimRow decodeRow(JsonNode json) throws IOException, MalformedResponseException {
    JsonNode answer = json.path("answer");
    ClaimState state = ClaimState.valueOf(Json.stringField(json, "state"));
    if (state == ClaimState.FINISHED && !answer.isObject()) {
      throw new IllegalArgumentException("state FINISHED has no answer");
    }
    return new ClaimRow(
        new EndpointId(Json.stringField(json, "owner")),
        new Incarnation(Long.parseLong(Json.stringField(json, "incarnation"))),
        new AttemptId(Json.stringField(json, "attempt")),
        Json.stringField(json, "requestDigest"),
        state,
        new Fence(Json.longField(json, "fence")),
        answer.isObject() ? Option.some(decodeAnswer(answer)) : Option.none());
  }

  private static ServiceAnswer decodeAnswer(JsonNode json)
      throws IOException, MalformedResponseException {
    Vector<HttpHeader> headers = Vector.empty();
    for (JsonNode header : json.path("headers")) {
      headers =
          headers.append(
              new HttpHeader(Json.stringField(header, "name"), Json.stringField(header, "value")));
    }
    byte[] body = json.path("body").binaryValue();
    if (body == null) {
      throw new IllegalArgumentException("field body of the answer is missing or not Base64 text");
    }
    return new ServiceAnswer(Json.intField(json, "status"), headers, Payload.wrap(body));
  }
}
