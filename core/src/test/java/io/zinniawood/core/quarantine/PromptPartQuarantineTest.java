package io.zinniawood.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class PromptPartQuarantineTest {
  private static final PromptPartId DEADLY = new PromptPartId("deadly");
  private static final PromptPartId OPENING = new PromptPartId("opening");

  private final PromptPartQuarantine quarantine = new PromptPartQuarantine();
  private long nowNanos = TimeUnit.SECONDS.toNanos(50);
  private int crashes;

  private void advanceMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static CrashCandidate candidate(String part, long waitedMillis, int position) {
    return new CrashCandidate(new PromptPartId(part), waitedMillis, position);
  }

  private List<QuarantineChange> crash(CrashCandidate... candidates) {
    return quarantine.crashed(
        new CrashId(new EndpointId("e" + ++crashes), 1), nowNanos, List.of(candidates), nowNanos);
  }

  private boolean holds(String part) {
    return quarantine.heldPart(List.of(new PromptPartId(part))).isPresent();
  }

  // One crash hits sound requests as well; holding their parts would refuse sound requests.
  @Test
  void oneCrashHoldsNothing() {
    crash(candidate("opening", 150, 0), candidate("deadly", 150, 1), candidate("other", 3, 0));
    assertThat(quarantine.heldParts(), is(0));
  }

  @Test
  void partOfTwoCrashesIsHeld() {
    crash(candidate("a", 150, 0), candidate("deadly", 150, 1), candidate("c", 3, 0));
    advanceMillis(600);
    crash(candidate("b", 170, 0), candidate("deadly", 170, 1), candidate("d", 20, 0));
    assertThat(holds("deadly"), is(true));
    assertThat(quarantine.heldParts(), is(1));
  }

  // Sound requests that share the beginning with the cause must not be held back with it.
  @Test
  void partThatIsInUseElsewhereIsNotTakenForTheCause() {
    for (int crash = 0; crash < 3; crash++) {
      crash(candidate("opening", 150, 0), candidate("deadly", 150, 1));
      quarantine.firstEvent(List.of(OPENING), nowNanos + 1);
      advanceMillis(400);
    }
    assertThat(holds("opening"), is(false));
    assertThat(holds("deadly"), is(true));
  }

  // Without any first event since, the part that was sound before is the less likely cause.
  @Test
  void partWithEarlierSuccessIsTheLessLikelyCause() {
    quarantine.firstEvent(List.of(DEADLY), nowNanos);
    advanceMillis(100);
    crash(candidate("deadly", 150, 1), candidate("new", 150, 0));
    advanceMillis(400);
    crash(candidate("deadly", 150, 1), candidate("new", 150, 0));
    assertThat(holds("new"), is(true));
    assertThat(holds("deadly"), is(false));
  }

  // Endpoints of a rack that fail together say nothing about the requests that several of them ran.
  @Test
  void crashesAtTheSameMomentCountOnce() {
    for (int endpoint = 0; endpoint < 6; endpoint++) {
      crash(candidate("opening", 150, 0));
      advanceMillis(5);
    }
    assertThat(quarantine.heldParts(), is(0));
  }

  // Requests cut by one crash are sent again together; the next crash of the same cause must not
  // count against their parts.
  @Test
  void requestsThatWereSentAgainAreNotHeldWithTheCause() {
    crash(candidate("deadly", 200, 0), candidate("a", 120, 0), candidate("b", 60, 0));
    advanceMillis(400);
    crash(candidate("deadly", 190, 0), candidate("a", 180, 0), candidate("b", 180, 0));
    advanceMillis(400);
    crash(candidate("a", 170, 0), candidate("deadly", 160, 0), candidate("b", 100, 0));
    assertThat(holds("deadly"), is(true));
    assertThat(quarantine.heldParts(), is(1));
  }

  @Test
  void twoCausesAreFoundSideBySide() {
    for (int round = 0; round < 2; round++) {
      crash(candidate("first", 150, 0), candidate("x" + round, 20, 0));
      advanceMillis(300);
      crash(candidate("second", 150, 0), candidate("y" + round, 20, 0));
      advanceMillis(300);
    }
    assertThat(holds("first"), is(true));
    assertThat(holds("second"), is(true));
    assertThat(quarantine.heldParts(), is(2));
  }

  // A part that was sound for minutes may begin to crash endpoints.
  @Test
  void partThatWasSoundEarlierIsHeldWhenItBeginsToCrashEndpoints() {
    for (int request = 0; request < 200; request++) {
      quarantine.firstEvent(List.of(DEADLY), nowNanos);
      advanceMillis(100);
    }
    crash(candidate("deadly", 150, 0), candidate("a", 20, 0));
    advanceMillis(500);
    crash(candidate("deadly", 150, 0), candidate("b", 20, 0));
    assertThat(holds("deadly"), is(true));
  }

  // A wrong or outdated decision must end as soon as one request shows that the part is sound.
  @Test
  void firstEventReleasesPart() {
    crash(candidate("deadly", 150, 0));
    advanceMillis(300);
    crash(candidate("deadly", 150, 0));
    advanceMillis(100);
    List<QuarantineChange> changes = quarantine.firstEvent(List.of(DEADLY), nowNanos);
    assertThat(changes, is(List.of(new QuarantineChange.Released(DEADLY, 2))));
    assertThat(quarantine.heldParts(), is(0));
  }

  // A decision that never ends loses a part that is sound again; trials that come too often crash
  // endpoint after endpoint.
  @Test
  void trialsBecomeRarerWithEachFailure() {
    crash(candidate("deadly", 150, 0));
    advanceMillis(300);
    crash(candidate("deadly", 150, 0));
    List<Long> waits = new ArrayList<>();
    for (int trial = 0; trial < 3; trial++) {
      waits.add(TimeUnit.MILLISECONDS.toSeconds(quarantine.millisUntilTrial(DEADLY, nowNanos)));
      advanceMillis(quarantine.millisUntilTrial(DEADLY, nowNanos));
      assertThat(quarantine.trialDue(DEADLY, nowNanos), is(true));
      quarantine.trialStarted(DEADLY);
      assertThat(quarantine.trialDue(DEADLY, nowNanos), is(false));
      advanceMillis(200);
      crash(candidate("deadly", 150, 0));
      quarantine.trialEnded(DEADLY, nowNanos);
      assertThat(quarantine.trialDue(DEADLY, nowNanos), is(false));
    }
    assertThat(waits, is(List.of(30L, 60L, 120L)));
  }

  // Each of several routers sees a part of the crashes only.
  @Test
  void noticesOfOtherRoutersCompleteTheEvidence() {
    PromptPartQuarantine other = new PromptPartQuarantine();
    other.crashed(
        new CrashId(new EndpointId("far"), 1),
        nowNanos,
        List.of(candidate("deadly", 150, 0), candidate("a", 10, 0)),
        nowNanos);
    quarantine.noticeReceived(other.notice(nowNanos), nowNanos);
    advanceMillis(500);
    crash(candidate("deadly", 150, 0), candidate("b", 10, 0));
    assertThat(holds("deadly"), is(true));
    other.noticeReceived(quarantine.notice(nowNanos), nowNanos);
    assertThat(other.heldPart(List.of(DEADLY)), is(Optional.of(DEADLY)));
  }

  // Crashes that two routers know of must count once, or the next trial comes far too late.
  @Test
  void crashesOfNoticesAreNotCountedTwice() {
    PromptPartQuarantine other = new PromptPartQuarantine();
    for (int crash = 0; crash < 2; crash++) {
      CrashId id = new CrashId(new EndpointId("far" + crash), 1);
      other.crashed(id, nowNanos, List.of(candidate("deadly", 150, 0)), nowNanos);
      advanceMillis(300);
    }
    for (int message = 0; message < 3; message++) {
      quarantine.noticeReceived(other.notice(nowNanos), nowNanos);
      other.noticeReceived(quarantine.notice(nowNanos), nowNanos);
    }
    assertThat(
        quarantine.millisUntilTrial(DEADLY, nowNanos),
        is(other.millisUntilTrial(DEADLY, nowNanos)));
    assertThat(quarantine.notice(nowNanos).held().get(0).crashes(), is(2));
  }

  // Notices cross each other: a router that has not heard of the release must not undo it.
  @Test
  void releaseReachesRoutersThatStillHoldThePart() {
    PromptPartQuarantine other = new PromptPartQuarantine();
    crash(candidate("deadly", 150, 0));
    advanceMillis(300);
    crash(candidate("deadly", 150, 0));
    other.noticeReceived(quarantine.notice(nowNanos), nowNanos);
    advanceMillis(20_000);
    QuarantineNotice outdated = other.notice(nowNanos);
    quarantine.firstEvent(List.of(DEADLY), nowNanos);
    assertThat(quarantine.noticeReceived(outdated, nowNanos), empty());
    assertThat(quarantine.heldParts(), is(0));
    other.noticeReceived(quarantine.notice(nowNanos), nowNanos);
    assertThat(other.heldParts(), is(0));
  }
}
