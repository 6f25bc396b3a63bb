package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RelayDrainTest {
  /** A time at which what can still run is running, shortly before the end of the grace period. */
  private static final long LATE_MILLIS = 6_800;

  private final RelayHarness relay = new RelayHarness();

  private void terminate() {
    relay.post(new RelayEvent.TerminationRequested());
  }

  private List<RelayEffect.AbortAnswer> aborted() {
    return relay.effectsOf(RelayEffect.AbortAnswer.class);
  }

  private void fillPlain() {
    relay.list(relay.plain("a"));
    for (int count = 0; count < 9; count++) {
      relay.request("long-read", 20_000);
    }
  }

  // Guards against a request that the kill at the end of the grace period cuts without an answer.
  @ParameterizedTest
  @CsvSource({"book, 504", "long-read, 504", "long-book, 504"})
  void openRequestIsAnsweredBeforeTheKill(String route, int status) {
    relay.list(relay.plain("a"));
    terminate();
    RelayRequestId early = relay.request(route, 20_000);
    relay.advanceMillis(RelayHarness.GRACE_MILLIS - 500);
    assertThat(relay.localAnswer(early).orElseThrow().status(), is(status));
    assertThat(relay.state().openRequests(), is(0));
    assertThat(relay.effectsOf(RelayEffect.Stop.class), hasSize(1));
  }

  // Guards against a stream that the kill cuts together with the bytes that are still to be sent.
  @Test
  void begunStreamIsBrokenOffBeforeTheKill() {
    relay.list(relay.model("a", 0, 10));
    RelayRequestId id = relay.request("stream", 20_000);
    relay.answerReceived(id, 1, 200);
    terminate();
    for (long millis = 0; millis < RelayHarness.GRACE_MILLIS - 500; millis += 100) {
      relay.streamAdvanced(id, 1);
      relay.advanceMillis(100);
    }
    assertThat(aborted(), hasSize(1));
    assertThat(relay.effectsOf(RelayEffect.Stop.class), hasSize(1));
  }

  // A request that waits is refused while its caller has time to go elsewhere, not sent and then
  // cut.
  @ParameterizedTest
  @CsvSource({"long-read", "long-book"})
  void waitingRequestIsNotSentTooLate(String route) {
    fillPlain();
    relay.advanceMillis(100);
    RelayRequestId id = relay.request(route, 20_000);
    assertThat(relay.sends(id), empty());
    terminate();
    relay.pauseMillis(LATE_MILLIS);
    relay.answerReceived(new RelayRequestId(1), 1, 200);
    relay.post(new RelayEvent.AnswerRelayed(new RelayRequestId(1), 1, RelayHarness.EVIDENCE));
    relay.advanceMillis(100);
    assertThat(relay.sends(id), empty());
    LocalAnswer answer = relay.localAnswer(id).orElseThrow();
    assertThat(answer.status(), is(503));
    assertThat(answer.retryAfterMillis().orElseThrow(), lessThan(1_000L));
  }

  // Guards against a second send whose answer the kill cuts. What may have run says so.
  @ParameterizedTest
  @CsvSource({
    "long-read, CONNECTION_LOST, 502",
    "long-read, NOT_SENT, 503",
    "long-book, NOT_SENT, 503",
  })
  void requestIsNotRepeatedTooLate(String route, AttemptFailureCause cause, int status) {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request(route, 20_000);
    terminate();
    relay.advanceMillis(LATE_MILLIS);
    relay.attemptFailed(id, 1, cause);
    relay.advanceMillis(10);
    assertThat(relay.sends(id), hasSize(1));
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(status));
  }

  // A failure that an endpoint states is better than an unknown outcome.
  @Test
  void lateFailureIsPassedOn() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("long-read", 20_000);
    terminate();
    relay.advanceMillis(LATE_MILLIS);
    relay.answerReceived(id, 1, 500);
    assertThat(relay.sends(id), hasSize(1));
    assertThat(relay.lastEffect(RelayEffect.RelayAnswer.class).id(), is(id));
  }

  // Guards against a stream that is resumed although none of its events can arrive any more.
  @Test
  void streamIsNotResumedTooLate() {
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10));
    RelayRequestId id = relay.request("stream", 20_000);
    relay.answerReceived(id, 1, 200);
    relay.streamAdvanced(id, 1);
    terminate();
    relay.pauseMillis(LATE_MILLIS);
    relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
    assertThat(relay.sends(id), hasSize(1));
    assertThat(aborted(), hasSize(1));
  }

  // A stream that breaks early in the grace period goes on; its caller notices nothing.
  @Test
  void streamIsResumedEarlyInTheGracePeriod() {
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10));
    RelayRequestId id = relay.request("stream", 20_000);
    relay.answerReceived(id, 1, 200);
    relay.streamAdvanced(id, 1);
    terminate();
    relay.pauseMillis(1_000);
    relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
    assertThat(relay.sends(id), hasSize(2));
  }

  // Guards against new work that cannot finish; what fits is served while the balancer still sends.
  @ParameterizedTest
  @CsvSource({
    // Route, limit, time of one answer and time after the signal in milliseconds; accepted or not.
    "long-read,  20000,  100,  100, true",
    "long-read,  20000, 6500,  100, false",
    "long-read,   3000, 6500,  100, true",
    "long-book,  20000, 1000,  100, true",
    "long-book,  20000, 3000,  100, false",
    "long-book,  20000,  100, 2700, true",
    "long-read,  20000,  100, 3000, false",
  })
  void newRequestIsAcceptedOnlyIfItFits(
      String route, long limitMillis, long answerMillis, long atMillis, boolean accepted) {
    relay.list(relay.plain("a"));
    RelayRequestId sample = relay.request("long-read", 20_000);
    relay.advanceMillis(answerMillis);
    relay.answerReceived(sample, 1, 200);
    relay.post(new RelayEvent.AnswerRelayed(sample, 1, RelayHarness.EVIDENCE));
    terminate();
    relay.advanceMillis(atMillis);
    RelayRequestId id = relay.request(route, limitMillis);
    assertThat(relay.sends(id).isEmpty(), is(!accepted));
    assertThat(relay.localAnswer(id).map(LocalAnswer::status).orElse(0), is(accepted ? 0 : 503));
  }

  // Guards against refusals of requests that measured durations show to fit, and the reverse.
  @ParameterizedTest
  @CsvSource({"50, true", "9000, false"})
  void measuredDurationsDecideWhetherStreamsFit(long measuredMillis, boolean accepted) {
    relay.list(relay.model("a", 0, 10));
    for (int count = 0; count < 5; count++) {
      RelayRequestId sample = relay.request("stream", 20_000);
      relay.answerReceived(sample, 1, 200);
      relay.pauseMillis(measuredMillis);
      relay.post(new RelayEvent.AnswerRelayed(sample, 1, RelayHarness.EVIDENCE));
    }
    terminate();
    relay.pauseMillis(2_500);
    RelayRequestId id = relay.request("stream", 20_000);
    assertThat(relay.sends(id).isEmpty(), is(!accepted));
  }

  // Every open request has exactly one end before the kill, whatever happens during the drain.
  @Test
  void everyRequestHasOneEndInDrawnHistories() {
    for (long seed = 1; seed <= 200; seed++) {
      DrawnDrain drain = new DrawnDrain(new Random(seed));
      assertThat("seed " + seed, drain.ends(), not(containsString("!")));
    }
  }

  /** A drain with random arrivals, answers, failures, changes of the routes and signals. */
  private static final class DrawnDrain {
    private static final List<String> ROUTES =
        List.of("read", "book", "long-read", "long-book", "stream");
    private final RelayHarness relay = new RelayHarness();
    private final TreeSet<Long> requests = new TreeSet<>();

    /** Requests of whose answer the caller has received at least the head. */
    private final Set<RelayRequestId> begun = new HashSet<>();

    private final Random random;
    private long routesVersion = 1;

    DrawnDrain(Random random) {
      this.random = random;
      relay.list(
          relay.plain("a"), relay.plain("b"), relay.model("c", 0, 10), relay.model("d", 0, 10));
    }

    /** Returns the requests without exactly one end, each with an exclamation mark. */
    String ends() {
      int signalStep = random.nextInt(40);
      long drainMillis = 0;
      for (int step = 0; relay.effectsOf(RelayEffect.Stop.class).isEmpty(); step++) {
        if (step == signalStep || (step > signalStep && random.nextInt(20) == 0)) {
          relay.post(new RelayEvent.TerminationRequested());
        }
        step();
        long pauseMillis = random.nextInt(200);
        relay.advanceMillis(pauseMillis);
        drainMillis += step >= signalStep ? pauseMillis : 0;
        if (drainMillis > RelayHarness.GRACE_MILLIS) {
          return "no stop within the grace period!";
        }
      }
      StringBuilder wrong = new StringBuilder();
      requests.forEach(number -> check(new RelayRequestId(number), wrong));
      return wrong.toString();
    }

    private void step() {
      switch (random.nextInt(6)) {
        case 0 ->
            relay.post(
                new RelayEvent.RoutesAnswered(
                    Optional.of(RelayHarness.routes(++routesVersion)),
                    RelayHarness.version(routesVersion)));
        case 1, 2 ->
            requests.add(relay.request(ROUTES.get(random.nextInt(ROUTES.size())), 20_000).value());
        default ->
            relay.effectsOf(RelayEffect.Send.class).stream()
                .skip(Math.max(0, relay.effectsOf(RelayEffect.Send.class).size() - 4))
                .forEach(this::attemptEvent);
      }
    }

    private void attemptEvent(RelayEffect.Send send) {
      switch (random.nextInt(5)) {
        case 0 -> relay.notRun(send.id(), send.attempt());
        case 1 -> answer(send, 500);
        case 2 ->
            relay.attemptFailed(
                send.id(), send.attempt(), AttemptFailureCause.values()[random.nextInt(2)]);
        case 3 -> answer(send, 200);
        default -> {}
      }
    }

    /** Answers as the runtime does: a whole answer at once, the head of a stream with an event. */
    private void answer(RelayEffect.Send send, int status) {
      int before = relay.effectsOf(RelayEffect.RelayAnswer.class).size();
      relay.answerReceived(send.id(), send.attempt(), status);
      boolean stream = send.options().streaming() && status == 200;
      if (relay.effectsOf(RelayEffect.RelayAnswer.class).size() == before
          || (stream && random.nextBoolean())) {
        return;
      }
      begun.add(send.id());
      if (stream) {
        relay.streamAdvanced(send.id(), send.attempt());
      } else {
        relay.post(new RelayEvent.AnswerRelayed(send.id(), send.attempt(), RelayHarness.EVIDENCE));
      }
    }

    private void check(RelayRequestId id, StringBuilder wrong) {
      long passedOn = begun.contains(id) ? 1 : 0;
      long local =
          relay.effectsOf(RelayEffect.AnswerLocally.class).stream()
              .filter(answer -> answer.id().equals(id))
              .count();
      long aborted =
          relay.effectsOf(RelayEffect.AbortAnswer.class).stream()
              .filter(answer -> answer.id().equals(id))
              .count();
      // An answer that has begun may be broken off; without one there is exactly one local answer.
      if (passedOn + local != 1 || aborted > passedOn) {
        wrong.append(id).append(": ").append(passedOn).append(local).append(aborted).append("! ");
      }
    }
  }
}
