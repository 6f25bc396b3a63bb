package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Responses;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import okhttp3.Headers;
import org.junit.jupiter.api.Test;

/** Cuts responses without a length at every byte. */
final class TruncatedResponseTest {
  private static final Vector<StepRequest> STEPS =
      Vector.of(new StepRequest(new SessionId("s"), 0, Payload.empty(), 5, Priority.NORMAL));
  private static final String RUN =
      "{\"outputs\":[{\"session\":\"s\",\"position\":0,\"kind\":\"token\","
          + "\"text\":\"x\"}],\"n\":1}";
  private static final String STATUS =
      "{\"model\":\"m\",\"fromLayer\":0,\"toLayerExclusive\":2,\"accelerator\":\"a\","
          + "\"tokensPerSecond\":1.5,\"maxSessions\":4,\"load\":{\"running\":0,\"queued\":0,"
          + "\"concurrencyLimit\":4,\"tokensPerSecond\":0}}";

  private static <T> void assertOnlyWholeDecodes(
      byte[] body, Responses.Decoder<EngineError, T> decoder) {
    for (int length = 0; length <= body.length; length++) {
      HttpResult.Response response =
          new HttpResult.Response(200, Headers.of(), Arrays.copyOf(body, length));
      assertThat(
          length + " of " + body.length + " bytes",
          EngineResponses.decode(response, decoder).isRight(),
          is(length == body.length));
    }
  }

  // A truncated response would be a value that the engine did not state.
  @Test
  void truncatedResponseIsNoValue() throws Exception {
    byte[] run =
        new ObjectMapper(new CBORFactory()).writeValueAsBytes(new ObjectMapper().readTree(RUN));
    assertOnlyWholeDecodes(run, response -> HttpModelEngine.decodeRun(STEPS, response));
    assertOnlyWholeDecodes(STATUS.getBytes(StandardCharsets.UTF_8), HttpModelEngine::decodeStatus);
    assertOnlyWholeDecodes(
        "{\"done\":true}".getBytes(StandardCharsets.UTF_8), HttpModelEngine::decodeDone);
    assertOnlyWholeDecodes(
        "{\"outcome\":\"DONE\"}".getBytes(StandardCharsets.UTF_8), OrderCodec::decode);
  }
}
