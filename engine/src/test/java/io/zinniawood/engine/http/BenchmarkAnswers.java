package io.zinniawood.engine.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.vavr.collection.Vector;
import io.zinniawood.engine.ModelEngine.StepRequest;
import java.io.IOException;

/** Builds the response of an engine to a batch, with each input as the output. */
final class BenchmarkAnswers {
  private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory());

  private BenchmarkAnswers() {}

  static byte[] of(Vector<StepRequest> batch) throws IOException {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode outputs = root.putArray("outputs");
    for (StepRequest step : batch) {
      outputs
          .addObject()
          .put("session", step.session().value())
          .put("position", step.position())
          .put("kind", "activation")
          .put("payload", step.input().bytes());
    }
    return MAPPER.writeValueAsBytes(root);
  }
}
