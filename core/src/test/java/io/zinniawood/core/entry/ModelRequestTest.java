package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.sameInstance;

import io.vavr.control.Option;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of stage sessions and their recovery. */
class ModelRequestTest {
  private static final String FULL_ANSWER = "w0<m>ok w1<m>ok w2<m>ok w3<m>ok w4<m>ok w5<m>ok ";

  // Guards against lost, repeated or reordered tokens without any fault.
  @Test
  void deliversTheWholeAnswerAndClosesEveryStage() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(200);
    assertThat(world.answerText("m"), equalTo(FULL_ANSWER));
    world.invariants.checkFinalState();
    world.agents.values().forEach(agent -> assertThat(agent.sessions.size(), equalTo(0)));
  }

  // Guards against an answer that ends because one stage's process died.
  @Test
  void continuesAfterTheCrashOfEitherStage() {
    for (String prefix : new String[] {"a", "b"}) {
      World world = World.small();
      world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
      world.run(30);
      world.crash(busyEndpoint(world, prefix));
      world.run(1_300);
      assertThat(world.answerText("m"), equalTo(FULL_ANSWER));
      EntryEffect.RecordResult result = world.effects(EntryEffect.RecordResult.class).get(0);
      assertThat(result.result().outcome(), equalTo(Outcome.COMPLETED));
      assertThat(
          result.result().slowestGapNanos().get(), lessThan(1_300 * Fixtures.NANOS_PER_MILLI));
      world.invariants.checkFinalState();
    }
  }

  // Guards against a session that waits forever on an engine that accepts steps and does not run
  // them while its agent answers.
  @Test
  void replacesStageThatStallsWithoutAnError() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    world.agent(busyEndpoint(world, "b")).stalled = true;
    world.run(1_300);
    assertThat(world.answerText("m"), equalTo(FULL_ANSWER));
    assertThat(world.incidents(IncidentKind.STAGE_REPLACED), equalTo(1L));
  }

  // Guards against replacing a stage when only its connection stopped delivering messages.
  @Test
  void keepsTheStageWhenOnlyItsConnectionWentSilent() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    String stage = busyEndpoint(world, "a");
    world.silence(stage);
    world.dropConnection(stage, DisconnectReason.SILENT);
    world.run(500);
    assertThat(world.answerText("m"), equalTo(FULL_ANSWER));
    assertThat(world.incidents(IncidentKind.STAGE_REPLACED), equalTo(0L));
  }

  // Guards against tokens of an old epoch, of a wrong position, from a stage that is not the last,
  // or of another session, which would reach the caller as wrong text.
  @Test
  void ignoresTokensOtherThanTheExpectedOne() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    String last = busyEndpoint(world, "b");
    world.dropConnection(busyEndpoint(world, "a"), DisconnectReason.CLOSED);
    world.run(8);
    Session session = world.state.sessions().values().head();
    assertThat(session.phase(), equalTo(SessionPhase.RUNNING));
    assertThat(session.epoch().value(), equalTo(2L));
    int delivered = world.effects(EntryEffect.ReplyToken.class).size();
    int position = session.nextPosition();
    receiveToken(world, last, session.id(), 1, position);
    receiveToken(world, last, session.id(), 3, position);
    receiveToken(world, last, session.id(), 2, position - 1);
    receiveToken(world, last, session.id(), 2, position + 1);
    receiveToken(world, last, new SessionId("other"), 2, position);
    receiveToken(world, busyEndpoint(world, "a"), session.id(), 2, position);
    assertThat(world.effects(EntryEffect.ReplyToken.class), hasSize(delivered));
  }

  private static void receiveToken(
      World world, String sender, SessionId session, long epoch, int position) {
    world.reduce(tokenEvent(world, sender, session, epoch, position));
  }

  private static EntryEvent tokenEvent(
      World world, String sender, SessionId session, long epoch, int position) {
    FakeAgent agent = world.agent(sender);
    return new EntryEvent.AgentMessageReceived(
        agent.endpoint,
        agent.incarnation,
        new Message.Token(
            session, new Epoch(epoch), position, "w" + position + "<m>ok", Option.none()));
  }

  // Guards against recomputing every position although the old stage still answers and its KV
  // cache can be imported.
  @Test
  void importsKvCacheWhenOnlyTheLinkFailed() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    String first = busyEndpoint(world, "a");
    world.brokenLinks.add(
        List.of(world.agent(first).endpoint, world.agent(busyEndpoint(world, "b")).endpoint));
    world.run(500);
    assertThat(world.answerText("m"), equalTo(FULL_ANSWER));
    assertThat(
        world.sentMessages(Message.OpenSession.class, m -> m.importFrom().isDefined()), hasSize(1));
    assertThat(world.sentMessages(Message.Replay.class, m -> true), hasSize(0));
    world.invariants.checkFinalState();
  }

  // Guards against failing a request that can be restarted, as no token was delivered.
  @Test
  void restartsOnNewSessionWhenNoTokenWasDelivered() {
    World world = World.small();
    world.agents.values().forEach(agent -> agent.stepMillis = 100);
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(20);
    FakeAgent first = world.agent(busyEndpoint(world, "a"));
    SessionId session = first.sessions.keySet().iterator().next();
    world.sendToEntry(
        first, new Message.StageFailed(session, new Epoch(1), 0, RefusalReason.REPLAY_UNAVAILABLE));
    world.run(2_500);
    assertThat(world.answerText("m"), equalTo(FULL_ANSWER));
    assertThat(
        world.sentMessages(Message.OpenSession.class, m -> m.session().equals(session)),
        hasSize(2));
    world.invariants.checkFinalState();
  }

  // Guards against one request that ends every endpoint that begins to work on it.
  @Test
  void requestThatLosesItsEndpointsAgainAndAgainIsNotCarriedOn() {
    World world = World.small();
    for (int number = 3; number <= 9; number++) {
      world.add("a" + number, Fixtures.stageCapability(0, 4, 100));
    }
    world.start();
    world.agents.values().forEach(agent -> agent.stepMillis = 400);
    world.reduce(Fixtures.modelRequest("m", world.deadline(20_000)));
    int crashes = 0;
    world.run(300);
    while (world.effects(EntryEffect.ReplyProblem.class).isEmpty() && crashes < 9) {
      world.crash(busyEndpoint(world, "a"));
      crashes++;
      world.run(300);
    }
    assertThat(crashes, equalTo(Fixtures.retryPolicy(1_000).maxAttempts()));
    assertThat(world.problem("m").outcome(), equalTo(Outcome.UNKNOWN));
  }

  // Guards against a cost per token that grows with the size of the state.
  @Test
  void tokenChangesOneSessionAndSharesEverythingElse() {
    World world = World.small();
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    EntryState before = world.state;
    Session session = before.sessions().values().head();
    world.reduce(
        tokenEvent(world, busyEndpoint(world, "b"), session.id(), 1, session.nextPosition()));
    EntryState after = world.state;
    assertThat(
        after,
        equalTo(
            before.withSessions(
                before.sessions().put(session.id(), after.sessions().values().head()))));
    assertThat(after.fleet(), sameInstance(before.fleet()));
    assertThat(after.requests(), sameInstance(before.requests()));
    assertThat(after.usage(), sameInstance(before.usage()));
  }

  // Guards against routing many sessions to a replica that is slow but does not fail.
  @Test
  void slowReplicaGetsFewSessions() {
    World world = World.small();
    world.agent("b1").stepMillis = 90;
    for (int i = 0; i < 60; i++) {
      world.reduce(Fixtures.modelRequest("m" + i, world.deadline(3_000)));
      world.run(300);
    }
    assertThat(world.countSentTo("b1", Message.OpenSession.class), lessThan(15));
  }

  // Guards against a wrong outcome when tokens were delivered and the session cannot be rebuilt.
  @Test
  void failsWithUnknownOutcomeWhenOutputsAreNotRetained() {
    World world = World.small();
    world.agents.values().forEach(agent -> agent.keepsOutputs = false);
    world.reduce(Fixtures.modelRequest("m", world.deadline(3_000)));
    world.run(30);
    world.crash(busyEndpoint(world, "b"));
    world.run(1_500);
    var problems = world.effects(EntryEffect.ReplyProblem.class);
    assertThat(problems, hasSize(1));
    assertThat(problems.get(0).problem().outcome(), equalTo(Outcome.UNKNOWN));
    world.invariants.checkFinalState();
  }

  private static String busyEndpoint(World world, String prefix) {
    return world.agents.values().stream()
        .filter(agent -> agent.endpoint.value().startsWith(prefix))
        .filter(agent -> agent.running && !agent.sessions.isEmpty())
        .findFirst()
        .orElseThrow()
        .endpoint
        .value();
  }
}
