package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServiceAnswer;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Ends a test that hangs; no assertion depends on this time.
@Timeout(60)
class CallerHttpTest {
  private static final String CHAT =
      "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"fees?\"}]%s}";

  private static Vector<EntryEffect> answer(EntryEvent event) {
    if (event instanceof EntryEvent.ModelRequestArrived arrived) {
      RequestId request = arrived.request();
      return Vector.of(
          new EntryEffect.ReplyToken(request, "No "),
          new EntryEffect.ReplyToken(request, "fees"),
          new EntryEffect.FinishAnswer(request, FinishReason.STOP, 2));
    }
    if (event instanceof EntryEvent.ServiceRequestArrived arrived) {
      ServiceAnswer answer =
          new ServiceAnswer(
              201,
              Vector.of(new HttpHeader("Content-Type", "text/plain"), new HttpHeader("X-A", "b")),
              Payload.ofText("credited"));
      return Vector.of(new EntryEffect.ReplyServiceAnswer(arrived.request(), answer));
    }
    return Vector.empty();
  }

  // Guards against an answer that clients of the chat API cannot parse.
  @Test
  void answersWholeAndStreamed() {
    try (EntryHarness entry = new EntryHarness(new FakePlatform(), CallerHttpTest::answer)) {
      entry.awaitReady();
      HttpResponse<String> whole = entry.chat(CHAT.formatted(""));
      assertThat(whole.statusCode(), equalTo(200));
      assertThat(whole.body(), containsString("\"content\":\"No fees\""));
      assertThat(whole.body(), containsString("\"finish_reason\":\"stop\""));
      assertThat(whole.body(), containsString("\"completion_tokens\":2"));
      HttpResponse<String> streamed =
          entry.chat(
              CHAT.formatted(",\"stream\":true,\"stream_options\":{\"include_usage\":true}"));
      assertThat(
          streamed.headers().firstValue("content-type").orElse(""),
          containsString("text/event-stream"));
      assertThat(streamed.body(), containsString("\"delta\":{\"content\":\"fees\"}"));
      assertThat(streamed.body(), containsString("\"total_tokens\""));
      assertThat(streamed.body().endsWith("data: [DONE]\n\n"), equalTo(true));
      assertThat(
          entry.send(entry.request("/v1/models")).body(), containsString("\"id\":\"assistant\""));
    }
  }

  // Guards against a call that is modified on its way to the service or includes the caller's key.
  @Test
  void passesServiceCalls() {
    try (EntryHarness entry = new EntryHarness(new FakePlatform(), CallerHttpTest::answer)) {
      entry.awaitReady();
      HttpResponse<String> response =
          entry.send(
              entry
                  .request("/services/credit/vouchers/7%20a?x=1")
                  .header("Idempotency-Key", "k1")
                  .header("Content-Type", "application/json")
                  .POST(BodyPublishers.ofString("{\"cents\":120}")));
      assertThat(response.statusCode(), equalTo(201));
      assertThat(response.body(), equalTo("credited"));
      assertThat(response.headers().firstValue("x-a").orElse(""), equalTo("b"));
      EntryEvent.ServiceRequestArrived arrived =
          entry.awaitEvent(EntryEvent.ServiceRequestArrived.class);
      HttpResponse<String> head =
          entry.send(entry.request("/services/credit/a").method("HEAD", BodyPublishers.noBody()));
      assertThat(head.statusCode(), equalTo(201));
      // The client would parse a body after the HEAD answer as the start of the next answer.
      assertThat(entry.send(entry.request("/v1/models")).statusCode(), equalTo(200));
      assertThat(arrived.call().pathAndQuery(), equalTo("/vouchers/7%20a?x=1"));
      assertThat(arrived.call().body().text(), equalTo("{\"cents\":120}"));
      assertThat(arrived.idempotency(), equalTo(Idempotency.NON_IDEMPOTENT));
      assertThat(arrived.key().get().value(), equalTo("k1"));
      assertThat(
          arrived.call().headers().exists(field -> "authorization".equalsIgnoreCase(field.name())),
          equalTo(false));
    }
  }

  // Guards against an answer that fails after the first token but looks complete.
  @Test
  void endsBrokenStreamsWithAnErrorEvent() {
    Problem problem = Problem.unknown(ProblemType.ENDPOINT_FAILED, "stage lost");
    try (EntryHarness entry =
        new EntryHarness(
            new FakePlatform(),
            event ->
                event instanceof EntryEvent.ModelRequestArrived arrived
                    ? Vector.of(
                        new EntryEffect.ReplyToken(arrived.request(), "No"),
                        new EntryEffect.ReplyProblem(arrived.request(), problem))
                    : Vector.empty())) {
      entry.awaitReady();
      HttpResponse<String> response = entry.chat(CHAT.formatted(",\"stream\":true"));
      assertThat(response.body(), containsString("event: error\ndata: {"));
      assertThat(response.body(), containsString("\"outcome\":\"unknown\""));
      assertThat(response.body(), not(containsString("[DONE]")));
    }
  }

  // An answer whose content type is no media type was lost.
  @Test
  void answerWithInvalidContentTypeIsForwarded() {
    HttpHeader invalid = new HttpHeader("Content-Type", "unknown");
    ServiceAnswer answer = new ServiceAnswer(200, Vector.of(invalid), Payload.ofText("done"));
    try (EntryHarness entry =
        new EntryHarness(
            new FakePlatform(),
            event ->
                event instanceof EntryEvent.ServiceRequestArrived arrived
                    ? Vector.of(new EntryEffect.ReplyServiceAnswer(arrived.request(), answer))
                    : Vector.empty())) {
      entry.awaitReady();
      HttpResponse<String> response = entry.send(entry.request("/services/credit/a"));
      assertThat(response.statusCode(), equalTo(200));
      assertThat(response.body(), equalTo("done"));
    }
  }

  // The caller of an answer that cannot be written got none, and its connection stayed busy.
  @Test
  void answerThatCannotBeWrittenEndsWithUnknownOutcome() {
    ServiceAnswer withoutBody = new ServiceAnswer(200, Vector.empty(), null);
    assertUnknownTwice(request -> new EntryEffect.ReplyServiceAnswer(request, withoutBody));
  }

  // A token that cannot be written left a gap in the answer, or the caller without any.
  @Test
  void requestWhoseTokenCannotBeWrittenEndsWithUnknownOutcome() {
    assertUnknownTwice(request -> new EntryEffect.ReplyToken(request, "token"));
  }

  private static void assertUnknownTwice(Function<RequestId, EntryEffect> reply) {
    try (EntryHarness entry =
        new EntryHarness(
            new FakePlatform(),
            event ->
                event instanceof EntryEvent.ServiceRequestArrived arrived
                    ? Vector.of(reply.apply(arrived.request()))
                    : Vector.empty())) {
      entry.awaitReady();
      for (int repeat = 0; repeat < 2; repeat++) {
        HttpResponse<String> response =
            entry.send(entry.request("/services/credit/a").timeout(Duration.ofSeconds(10)));
        assertThat(response.statusCode(), equalTo(500));
        assertThat(response.body(), containsString("\"outcome\":\"unknown\""));
      }
    }
  }

  // Guards against a refusal that does not tell the caller whether and when to retry.
  @Test
  void refusalsCarryOutcomeAndRetryAfter() {
    Problem problem =
        new Problem(ProblemType.OVERLOADED, "full", Outcome.NOT_RUN, Option.some(1_500L));
    try (EntryHarness entry =
        new EntryHarness(
            new FakePlatform(),
            event ->
                event instanceof EntryEvent.ModelRequestArrived arrived
                    ? Vector.of(new EntryEffect.ReplyProblem(arrived.request(), problem))
                    : Vector.empty())) {
      entry.awaitReady();
      HttpResponse<String> response = entry.chat(CHAT.formatted(""));
      assertThat(response.statusCode(), equalTo(503));
      assertThat(response.headers().firstValue("retry-after").orElse(""), equalTo("2"));
      assertThat(response.body(), containsString("\"outcome\":\"not-run\""));
    }
  }
}
