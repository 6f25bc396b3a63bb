package io.zinniawood.agent.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.agent.internal.FakeTable.Fault;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.ClaimWriteResult;
import io.zinniawood.core.agent.StoreWriteResult;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.store.claim.ClaimRowCodec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClaimStoreTest {
  private static final ClaimKey KEY =
      new ClaimKey(
          new ClientAccountId("kiosk"), new ServiceName("credit"), new IdempotencyKey("k"));

  private final FakeTable table = new FakeTable();
  private final List<AgentEvent> events = new ArrayList<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private long nowNanos;
  private final ClaimStore store =
      new ClaimStore(table, new ClaimRowCodec(), events::add, () -> nowNanos, delayed::add);

  private void afterHold() {
    nowNanos += RecentClaims.HOLD_NANOS;
  }

  private static ClaimRow row(String attempt, ClaimState state, long fence) {
    return new ClaimRow(
        new EndpointId("e1"),
        new Incarnation(7),
        new AttemptId(attempt),
        "digest",
        state,
        new Fence(fence),
        state == ClaimState.FINISHED
            ? Option.some(new ServiceAnswer(201, Vector.empty(), Payload.ofText("booked")))
            : Option.none());
  }

  private ClaimWriteResult claim(String attempt, long fence) {
    store.claim(
        new AgentEffect.WriteClaim(
            new AttemptId(attempt),
            KEY,
            row(attempt, ClaimState.STARTED, fence),
            new Fence(fence)));
    return ((AgentEvent.ClaimWritten) events.get(events.size() - 1)).result();
  }

  private StoreWriteResult store(String attempt, ClaimState state, long fence) {
    store.storeAnswer(
        new AgentEffect.StoreAnswer(new AttemptId(attempt), KEY, row(attempt, state, fence)));
    return ((AgentEvent.AnswerStored) events.get(events.size() - 1)).result();
  }

  private static ClaimWriteResult held(ClaimRow row) {
    return new ClaimWriteResult.HeldByOther(row);
  }

  // Guards against refusing a call whose claim was written but whose write response was lost.
  @Test
  void lostResponseIsResolvedByReadingTheRowBack() {
    table.failWrites(Fault.LOST_AFTER);
    assertThat(claim("a1", 0), equalTo(new ClaimWriteResult.Claimed()));
    assertThat(claim("a2", 0), equalTo(held(row("a1", ClaimState.STARTED, 0))));
  }

  // Guards against a definite result when it is unknown whether the claim was written.
  @Test
  void outcomeIsUnknownIfTheRowDoesNotShowWhetherTheClaimWasWritten() {
    table.failWrites(Fault.LOST_BEFORE);
    assertThat(claim("a1", 0), equalTo(new ClaimWriteResult.OutcomeUnknown()));
    table.failWrites(Fault.LOST_AFTER);
    table.failReads(Fault.UNAVAILABLE);
    assertThat(claim("a1", 0), equalTo(new ClaimWriteResult.OutcomeUnknown()));
    table.failWrites(Fault.UNAVAILABLE);
    assertThat(claim("a3", 0), equalTo(new ClaimWriteResult.NotWritten()));
  }

  // Guards against a delayed attempt that claims a key after its release for the next attempt.
  @Test
  void releasedKeyIsClaimedOnlyWithTheFenceOfItsRow() {
    claim("a1", 0);
    assertThat(store("a1", ClaimState.RELEASED, 1), equalTo(StoreWriteResult.DONE));
    ClaimRow released = row("a1", ClaimState.RELEASED, 1);
    assertThat(claim("a2", 0), equalTo(held(released)));
    assertThat(claim("a2", 2), equalTo(held(released)));
    assertThat(claim("a2", 1), equalTo(new ClaimWriteResult.Claimed()));
  }

  // Guards against an answer or a release that overwrites the row of another attempt.
  @Test
  void finalRowReplacesOnlyItsOwnStartedRow() {
    claim("a1", 0);
    assertThat(store("a9", ClaimState.FINISHED, 0), equalTo(StoreWriteResult.DONE));
    assertThat(claim("a2", 0), equalTo(held(row("a1", ClaimState.STARTED, 0))));
    assertThat(store("a1", ClaimState.FINISHED, 0), equalTo(StoreWriteResult.DONE));
    assertThat(store("a1", ClaimState.RELEASED, 1), equalTo(StoreWriteResult.DONE));
    assertThat(claim("a2", 0), equalTo(held(row("a1", ClaimState.FINISHED, 0))));
  }

  // Guards against a second run of a call whose acknowledged claim a restored store has lost.
  @Test
  void lostClaimIsWrittenAgainBeforeItsKeyCountsAsFree() {
    for (ClaimState last : List.of(ClaimState.STARTED, ClaimState.FINISHED)) {
      assertThat(claim("a1", 0), equalTo(new ClaimWriteResult.Claimed()));
      if (last == ClaimState.FINISHED) {
        store("a1", last, 0);
      }
      table.restoreEmpty();
      assertThat(claim("a2", 0), equalTo(new ClaimWriteResult.NotWritten()));
      afterHold();
      assertThat(claim("a2", 0), equalTo(held(row("a1", last, 0))));
      nowNanos += RecentClaims.KEPT_NANOS + 1;
      table.restoreEmpty();
      afterHold();
    }
  }

  // Guards against a claim that is taken for the first of its key although its write is the first
  // call that shows the new era.
  @Test
  void claimThatShowsNewEraDoesNotCount() {
    table.restoreWithNextWrite();
    assertThat(claim("a1", 0), equalTo(new ClaimWriteResult.OutcomeUnknown()));
  }

  // Guards against a final row that is dropped because the store has lost its claim.
  @Test
  void finalRowIsStoredAlthoughItsClaimIsLost() {
    claim("a1", 0);
    table.failReads(Fault.UNAVAILABLE);
    table.restoreEmpty();
    table.failReads(Fault.NONE);
    assertThat(store("a1", ClaimState.FINISHED, 0), equalTo(StoreWriteResult.DONE));
    afterHold();
    assertThat(claim("a2", 0), equalTo(held(row("a1", ClaimState.FINISHED, 0))));
  }

  // Guards against an agent without calls that learns of the new era too late to write its claims.
  @Test
  void agentWithRecentClaimsLearnsOfNewEraWithoutCalls() {
    claim("a1", 0);
    table.restoreUnseen();
    assertThat(table.isEmpty(), equalTo(true));
    List.copyOf(delayed).forEach(Runnable::run);
    assertThat(table.isEmpty(), equalTo(false));
  }

  // Guards against reporting an answer as stored although the table write failed.
  @Test
  void storingAnAnswerFailsIfTheTableFails() {
    claim("a1", 0);
    table.failWrites(Fault.LOST_BEFORE);
    assertThat(store("a1", ClaimState.FINISHED, 0), equalTo(StoreWriteResult.FAILED));
    table.failReads(Fault.UNAVAILABLE);
    assertThat(store("a1", ClaimState.FINISHED, 0), equalTo(StoreWriteResult.FAILED));
  }
}
