package io.zinniawood.engine.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Payload;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.engine.StepOutput;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import okhttp3.MediaType;

/** Encodes batches of steps and decodes their outputs. */
final class BatchCodec {
  static final MediaType TYPE = MediaType.get("application/json");
  private static final JsonFactory FACTORY = new JsonFactory();

  private BatchCodec() {}

  static byte[] encode(Vector<StepRequest> steps) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeArrayFieldStart("steps");
      for (StepRequest step : steps) {
        out.writeStartObject();
        out.writeStringField("session", step.session().value());
        out.writeNumberField("position", step.position());
        out.writeBinaryField("input", step.input().bytes());
        out.writeNumberField("maxTokens", step.maxTokens());
        out.writeStringField("priority", step.priority().name());
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("write to memory failed", e);
    }
    return bytes.toByteArray();
  }

  static Vector<StepOutput> decode(byte[] body) throws MalformedResponseException {
    Vector<StepOutput> outputs = Vector.empty();
    for (JsonNode item : Json.array(Json.object(body), "outputs")) {
      outputs = outputs.append(output(item));
    }
    return outputs;
  }

  private static StepOutput output(JsonNode item) throws MalformedResponseException {
    try {
      SessionId session = new SessionId(Json.text(item, "session"));
      int position = Json.integer(item, "position");
      String kind = Json.text(item, "kind");
      switch (kind) {
        case "activation":
          return new StepOutput.Activation(
              session, position, Payload.wrap(Json.binary(item, "payload")));
        case "token":
          return new StepOutput.Token(session, position, Json.text(item, "text"), finish(item));
        case "failed":
          return new StepOutput.Failed(session, position, Json.text(item, "detail"));
        default:
          throw new MalformedResponseException("unknown kind of output \"" + kind + "\"");
      }
    } catch (IllegalArgumentException e) {
      throw new MalformedResponseException("output is invalid: " + e.getMessage(), e);
    }
  }

  private static Option<FinishReason> finish(JsonNode item) throws MalformedResponseException {
    return item.has("finish")
        ? Option.some(FinishReason.valueOf(Json.text(item, "finish")))
        : Option.none();
  }
}
