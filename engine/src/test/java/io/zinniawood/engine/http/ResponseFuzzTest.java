package io.zinniawood.engine.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.engine.StepOutput;
import io.zinniawood.http.HttpResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import okhttp3.Headers;

/** Guards against malformed responses that cause an exception instead of an {@link EngineError}. */
class ResponseFuzzTest {
  private static final String SEED = "20261204";
  private static final Vector<StepRequest> STEPS =
      Vector.of(
          new StepRequest(new SessionId("s"), 0, Payload.empty(), 5, Priority.NORMAL),
          new StepRequest(new SessionId("t"), 7, Payload.empty(), 5, Priority.NORMAL));
  private static final String VALID_RUN =
      "{\"outputs\":[{\"session\":\"s\",\"position\":0,\"kind\":\"token\",\"text\":\"x\","
          + "\"finish\":\"STOP\"},{\"session\":\"t\",\"position\":7,\"kind\":\"failed\","
          + "\"detail\":\"d\"}]}";
  private static final String VALID_STATUS =
      "{\"model\":\"m\",\"fromLayer\":0,\"toLayerExclusive\":2,\"accelerator\":\"a\","
          + "\"tokensPerSecond\":1.5,\"maxSessions\":4,\"load\":{\"running\":0,\"queued\":0,"
          + "\"concurrencyLimit\":4,\"tokensPerSecond\":0}}";

  @Property(seed = SEED, tries = 2_000)
  void everyBatchResponseDecodesToOutputsOrError(@ForAll("cborBodies") byte[] body) {
    HttpResult.Response response = response(200, "1", body);
    Either<EngineError, Vector<StepOutput>> result =
        EngineResponses.decode(response, value -> HttpModelEngine.decodeRun(STEPS, value));
    if (result.isRight()) {
      assertAnswers(result.get());
    }
  }

  private static void assertAnswers(Vector<StepOutput> outputs) {
    for (int i = 0; i < STEPS.size(); i++) {
      if (!outputs.get(i).session().equals(STEPS.get(i).session())) {
        throw new AssertionError("output of another session was accepted: " + outputs);
      }
    }
  }

  @Property(seed = SEED, tries = 2_000)
  void everyOtherResponseDecodesToValueOrError(
      @ForAll("jsonBodies") byte[] body, @ForAll int status, @ForAll("positions") String position) {
    HttpResult.Response response =
        response(status % 2 == 0 ? 200 : 100 + Math.floorMod(status, 500), position, body);
    EngineResponses.decode(response, HttpModelEngine::decodeStatus);
    EngineResponses.decode(response, HttpModelEngine::decodeDone);
    EngineResponses.decode(response, HttpModelEngine::decodeExport);
    EngineResponses.decode(response, OrderCodec::decode);
  }

  private static HttpResult.Response response(int status, String position, byte[] body) {
    Headers headers = new Headers.Builder().add("Next-Position", position).build();
    return new HttpResult.Response(status, headers, body);
  }

  @Provide
  Arbitrary<String> positions() {
    return Arbitraries.of("0", "-1", "", "x", "99999999999", "5");
  }

  @Provide
  Arbitrary<byte[]> cborBodies() throws IOException {
    byte[] valid = new ObjectMapper(new CBORFactory()).writeValueAsBytes(tree(VALID_RUN));
    Arbitrary<byte[]> mutated =
        Combinators.combine(
                Arbitraries.integers().between(0, valid.length - 1),
                Arbitraries.bytes(),
                Arbitraries.integers().between(0, valid.length))
            .as((at, value, length) -> mutate(valid, at, value, length));
    // A byte string with a declared length of 2 GiB, and arrays nested deeper than in any response.
    byte[] hugeLength = {(byte) 0xa1, 0x67, 'o', 'u', 't', 'p', 'u', 't', 's', 0x5a, 0x7f, -1, -1};
    byte[] nested = new byte[5_000];
    Arrays.fill(nested, (byte) 0x81);
    return Arbitraries.oneOf(
        Arbitraries.bytes().array(byte[].class).ofMaxSize(100),
        mutated,
        mutated,
        Arbitraries.of(hugeLength, nested, valid));
  }

  private static byte[] mutate(byte[] valid, int at, byte value, int length) {
    byte[] changed = valid.clone();
    changed[at] = value;
    return length % 3 == 0 ? Arrays.copyOf(changed, length) : changed;
  }

  private static Object tree(String json) throws IOException {
    return new ObjectMapper().readTree(json);
  }

  @Provide
  Arbitrary<byte[]> jsonBodies() {
    Arbitrary<byte[]> mutated =
        Combinators.combine(
                Arbitraries.of(VALID_STATUS, "{\"done\":true}", "{\"outcome\":\"DONE\"}"),
                Arbitraries.integers().between(0, 200),
                Arbitraries.of("", "null", "{}", "[]", "-1", "1e999", "\"\"", "}", "99999999999"))
            .as(
                (valid, at, inserted) -> {
                  int from = Math.min(at, valid.length());
                  return (valid.substring(0, from) + inserted + valid.substring(from))
                      .getBytes(StandardCharsets.UTF_8);
                });
    return Arbitraries.oneOf(
        Arbitraries.bytes().array(byte[].class).ofMaxSize(100), mutated, mutated);
  }
}
