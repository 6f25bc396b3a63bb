package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decisions that fail, provoked by values that break the contract of their type. */
final class EntryFailuresTest {
  private final World world = World.small();

  private static EntryEvent.ModelRequestArrived withoutPriority(String id, long deadlineNanos) {
    EntryEvent.ModelRequestArrived sound = Fixtures.modelRequest(id, deadlineNanos);
    return new EntryEvent.ModelRequestArrived(
        sound.request(),
        sound.clientAccount(),
        sound.model(),
        sound.prompt(),
        sound.prefixHash(),
        sound.promptTokens(),
        sound.maxTokens(),
        null,
        sound.deadlineNanos());
  }

  // A request whose admission fails would get neither an answer nor a refusal.
  @Test
  void requestWhoseAdmissionFailsIsRefused() {
    world.reduce(withoutPriority("m1", world.deadline(2_000)));
    assertThat(world.problem("m1").type(), equalTo(ProblemType.INTERNAL));
    assertThat(world.problem("m1").outcome(), equalTo(Outcome.NOT_RUN));
    assertThat(world.incidents(IncidentKind.DECISION_FAILED), equalTo(1L));
    world.invariants.checkFinalState();
  }

  // A session would wait for its deadline after a token that cannot be handled.
  @Test
  void requestWhoseTokenCannotBeHandledEndsWithAnUnknownOutcome() {
    world.reduce(Fixtures.modelRequest("m1", world.deadline(20_000)));
    world.reduce(Fixtures.modelRequest("m2", world.deadline(20_000)));
    world.run(15);
    Session session = sessionOf("m1");
    world.reduce(
        new EntryEvent.AgentMessageReceived(
            session.chain().last().endpoint(),
            session.chain().last().incarnation(),
            new Message.Token(session.id(), session.epoch(), session.nextPosition(), "w", null)));
    assertThat(world.problem("m1").type(), equalTo(ProblemType.INTERNAL));
    assertThat(world.problem("m1").outcome(), equalTo(Outcome.UNKNOWN));
    world.run(2_000);
    assertThat(world.effects(EntryEffect.FinishAnswer.class), hasSize(1));
    world.invariants.checkFinalState();
  }

  // A request would stay open for good if even its end could not be computed.
  @Test
  void requestWhoseEndFailsIsAnsweredAndRemoved() {
    world.reduce(Fixtures.modelRequest("m1", world.deadline(2_000)));
    world.run(5);
    Session session = sessionOf("m1");
    world.state =
        world.state.withSessions(
            world.state.sessions().put(session.id(), session.withProgress(null)));
    world.run(3_000);
    assertThat(world.problem("m1").type(), equalTo(ProblemType.INTERNAL));
    assertThat(world.state.openRequests(), equalTo(0));
    assertThat(world.state.sessions().size(), equalTo(0));
  }

  private Session sessionOf(String request) {
    return world
        .state
        .sessions()
        .values()
        .find(session -> session.arrival().request().value().equals(request))
        .get();
  }

  // The calls after a failed one at a lost endpoint would wait for their deadlines.
  @Test
  void failureOfOneCallAtLostEndpointEndsOnlyThatCall() {
    world.crash("s2");
    world.run(500);
    world.call("c1", Idempotency.IDEMPOTENT, Option.none());
    world.call("c2", Idempotency.IDEMPOTENT, Option.none());
    world.run(10);
    spoil("c1");
    world.restart("s2");
    world.crash("s1");
    world.run(1_500);
    assertThat(world.problem("c1").type(), equalTo(ProblemType.INTERNAL));
    assertThat(world.problem("c1").outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(
        world.effects(EntryEffect.ReplyServiceAnswer.class).stream()
            .map(reply -> reply.request().value())
            .toList(),
        equalTo(List.of("c2")));
    world.invariants.checkFinalState();
  }

  /** Removes the endpoints to avoid, so that the call cannot be sent elsewhere. */
  private void spoil(String request) {
    RequestId id = new RequestId(request);
    ServiceRequest sound = (ServiceRequest) world.state.requests().get(id).get();
    ServiceRequest spoiled =
        new ServiceRequest(
            sound.arrival(),
            sound.arrivedNanos(),
            sound.attempts(),
            sound.triedAttempts(),
            sound.current(),
            sound.fence(),
            null,
            false,
            sound.refusal());
    world.state = world.state.withRequests(world.state.requests().put(id, spoiled));
  }

  // The lease would never be read or renewed again after one tick that fails.
  @Test
  void leaseIsCheckedAgainAfterFailedTick() {
    ClusterConfiguration sound = Fixtures.highLimitConfiguration().cluster();
    ClusterConfiguration withoutRepair =
        new ClusterConfiguration(
            sound.clientAccounts(),
            sound.models(),
            sound.services(),
            sound.objectives(),
            sound.routing(),
            sound.retries(),
            null);
    accept(Fixtures.accepted(2, withoutRepair));
    world.run(3_000);
    accept(Fixtures.accepted(3, sound));
    int before = leaseAccesses();
    world.run(5_000);
    assertThat(leaseAccesses(), greaterThan(before));
  }

  private void accept(AcceptedConfiguration configuration) {
    world.reduce(new EntryEvent.ConfigurationAccepted(configuration));
  }

  private int leaseAccesses() {
    return world.effects(EntryEffect.ReadLease.class).size()
        + world.effects(EntryEffect.WriteLease.class).size();
  }
}
