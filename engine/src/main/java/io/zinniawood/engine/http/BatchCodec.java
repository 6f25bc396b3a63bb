package io.zinniawood.engine.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Payload;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.engine.StepOutput;
import io.zinniawood.http.MalformedResponseException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import okhttp3.MediaType;

/**
 * Encodes batches of steps and decodes their outputs as CBOR (RFC 8949), which holds activations as
 * byte strings, without base64.
 */
final class BatchCodec {
  static final MediaType MEDIA_TYPE = MediaType.get("application/cbor");
  private static final JsonFactory FACTORY = new CBORFactory();

  /** Estimated encoded size of a step without its input, used for the initial buffer size. */
  private static final int STEP_OVERHEAD_BYTES = 128;

  private BatchCodec() {}

  static byte[] encode(Vector<StepRequest> steps) {
    int sizeBytes = STEP_OVERHEAD_BYTES;
    for (StepRequest step : steps) {
      sizeBytes += STEP_OVERHEAD_BYTES + step.input().sizeBytes();
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(sizeBytes);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeFieldName("steps");
      out.writeStartArray(null, steps.size());
      for (StepRequest step : steps) {
        out.writeStartObject(null, 5);
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
      throw new UncheckedIOException("cannot encode a batch of steps", e);
    }
    return bytes.toByteArray();
  }

  static Vector<StepOutput> decode(byte[] body) throws MalformedResponseException {
    List<StepOutput> outputs = new ArrayList<>();
    try (JsonParser in = FACTORY.createParser(body)) {
      expect(in.nextToken(), JsonToken.START_OBJECT);
      boolean found = false;
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        boolean isOutputs = in.currentName().equals("outputs");
        JsonToken value = in.nextToken();
        if (isOutputs && !found) {
          expect(value, JsonToken.START_ARRAY);
          readOutputs(in, outputs);
          found = true;
        } else {
          in.skipChildren();
        }
      }
      expect(in.currentToken(), JsonToken.END_OBJECT);
      if (!found) {
        throw new MalformedResponseException("field \"outputs\" is missing");
      }
    } catch (IOException | IllegalArgumentException e) {
      throw new MalformedResponseException("batch response is malformed: " + e.getMessage(), e);
    }
    return Vector.ofAll(outputs);
  }

  private static void readOutputs(JsonParser in, List<StepOutput> outputs)
      throws IOException, MalformedResponseException {
    while (in.nextToken() == JsonToken.START_OBJECT) {
      OutputFields fields = new OutputFields();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        fields.read(in);
      }
      expect(in.currentToken(), JsonToken.END_OBJECT);
      outputs.add(fields.toStepOutput());
    }
    expect(in.currentToken(), JsonToken.END_ARRAY);
  }

  private static void expect(JsonToken found, JsonToken expected)
      throws MalformedResponseException {
    if (found != expected) {
      throw new MalformedResponseException(
          "expected CBOR token " + expected + ", but found " + found);
    }
  }

  /** Collects the fields of one output, which may arrive in any order. */
  private static final class OutputFields {
    private Option<String> session = Option.none();
    private Option<String> kind = Option.none();
    private Option<String> text = Option.none();
    private Option<String> finish = Option.none();
    private Option<String> detail = Option.none();
    private Option<Payload> payload = Option.none();
    private int position = -1;

    void read(JsonParser in) throws IOException, MalformedResponseException {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "session" -> session = text(in, value);
        case "kind" -> kind = text(in, value);
        case "text" -> text = text(in, value);
        case "finish" -> finish = text(in, value);
        case "detail" -> detail = text(in, value);
        case "position" -> {
          expect(value, JsonToken.VALUE_NUMBER_INT);
          position = in.getIntValue();
        }
        case "payload" -> {
          expect(value, JsonToken.VALUE_EMBEDDED_OBJECT);
          payload = Option.some(Payload.wrap(in.getBinaryValue()));
        }
        default -> in.skipChildren();
      }
    }

    private static Option<String> text(JsonParser in, JsonToken value)
        throws IOException, MalformedResponseException {
      expect(value, JsonToken.VALUE_STRING);
      return Option.some(in.getText());
    }

    StepOutput toStepOutput() throws MalformedResponseException {
      SessionId id = new SessionId(required(session, "session"));
      if (position < 0) {
        throw new MalformedResponseException("field \"position\" is missing or negative");
      }
      String name = required(kind, "kind");
      return switch (name) {
        case "activation" -> new StepOutput.Activation(id, position, required(payload, "payload"));
        case "token" ->
            new StepOutput.Token(
                id, position, required(text, "text"), finish.map(FinishReason::valueOf));
        case "failed" -> new StepOutput.Failed(id, position, required(detail, "detail"));
        default -> throw new MalformedResponseException("unknown output kind \"" + name + "\"");
      };
    }

    private static <T> T required(Option<T> value, String field) throws MalformedResponseException {
      return value.getOrElseThrow(
          () -> new MalformedResponseException("field \"" + field + "\" is missing"));
    }
  }
}
