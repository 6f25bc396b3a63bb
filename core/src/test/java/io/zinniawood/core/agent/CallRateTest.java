package io.zinniawood.core.agent;

import static io.zinniawood.core.agent.AgentDriver.dispatch;
import static io.zinniawood.core.agent.AgentDriver.effectsOfType;
import static io.zinniawood.core.agent.AgentDriver.sentMessages;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests an agent whose service names the calls a second that it takes. */
final class CallRateTest {
  private static final int STEP_MILLIS = 50;
  private static final int SPAN_MILLIS = 4_000;
  private static final int LEARN_MILLIS = 3_000;

  private final AgentDriver agent = AgentDriver.serviceAgent(50);
  private final List<Integer> startMillis = new ArrayList<>();
  private final List<AttemptId> running = new ArrayList<>();
  private final List<Message.DispatchRefused> refused = new ArrayList<>();
  private int nowMillis;
  private int nextAttempt;

  private void handle(Vector<AgentEffect> effects) {
    for (AgentEffect.CallService call : effectsOfType(effects, AgentEffect.CallService.class)) {
      startMillis.add(nowMillis);
      running.add(call.attempt());
    }
    refused.addAll(sentMessages(effects, Message.DispatchRefused.class).asJava());
  }

  private Vector<AgentEffect> answer(AttemptId attempt, String... limits) {
    Vector<HttpHeader> headers =
        Vector.of(limits).map(limit -> new HttpHeader("request-limit", limit));
    return agent.apply(
        new AgentEvent.ServiceAnswered(
            attempt, new ServiceAnswer(200, headers, Payload.wrap(new byte[0]))));
  }

  /** Dispatches 20 calls a second, each of which may wait for half a second. */
  private void play(int millis, String... limits) {
    for (int end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      handle(agent.receive(dispatch("a" + nextAttempt++, "kiosk", 500)));
      List<AttemptId> answered = List.copyOf(running);
      running.clear();
      answered.forEach(attempt -> handle(answer(attempt, limits)));
      handle(agent.advanceMillis(STEP_MILLIS));
    }
  }

  private long started(int fromMillis, int untilMillis) {
    return startMillis.stream().filter(at -> at >= fromMillis && at < untilMillis).count();
  }

  // Guards against a service that gets more calls from all entries than it takes.
  @ParameterizedTest
  @ValueSource(strings = {"0.5", "1", "2.9", "8"})
  void callsKeepToTheLimitOfTheService(String limit) {
    double callsPerSecond = Double.parseDouble(limit);
    play(2_000);
    play(20_000, limit);
    for (int from = 2_000 + LEARN_MILLIS; from <= 22_000 - SPAN_MILLIS; from += STEP_MILLIS) {
      assertThat(
          (double) started(from, from + SPAN_MILLIS),
          lessThanOrEqualTo(1.5 * callsPerSecond * SPAN_MILLIS / 1_000 + 5));
    }
    assertThat((double) started(12_000, 22_000), greaterThan(0.85 * callsPerSecond * 10));
    assertThat(refused.isEmpty(), is(false));
    assertThat(refused.stream().allMatch(r -> r.reason() == RefusalReason.OVERLOADED), is(true));
  }

  // Guards against a limit that stays when the service names none any more.
  @Test
  void limitEndsWithAnAnswerToLaterCall() {
    play(10_000, "1");
    play(4_000);
    assertThat(started(12_000, 14_000), is(40L));
  }

  // Guards against an answer that was made before the limit and arrives after it.
  @Test
  void answerToAnEarlierCallDoesNotEndTheLimit() {
    handle(agent.receive(dispatch("early", "kiosk", 500)));
    handle(agent.receive(dispatch("late", "kiosk", 500)));
    agent.advanceMillis(10);
    answer(new AttemptId("late"), "1");
    answer(new AttemptId("early"));
    startMillis.clear();
    for (int call = 0; call < 5; call++) {
      handle(agent.receive(dispatch("next" + call, "kiosk", 100)));
    }
    assertThat(startMillis.size(), lessThanOrEqualTo(1));
  }

  // Guards against values without meaning that stop all calls, and against a header for callers.
  @ParameterizedTest
  @ValueSource(strings = {"", "-1", "NaN", "1e3", "many", "99999999", "9999999999999999999999"})
  void valuesWithoutMeaningSetNoLimit(String value) {
    play(3_000, value);
    assertThat(started(0, 3_000), is(60L));
  }

  @Test
  void limitIsNotPassedOn() {
    handle(agent.receive(dispatch("a", "kiosk", 500)));
    Vector<AgentEffect> effects = answer(new AttemptId("a"), "1");
    assertThat(
        sentMessages(effects, Message.DispatchReply.class).single().answer().headers().size(),
        is(0));
  }
}
