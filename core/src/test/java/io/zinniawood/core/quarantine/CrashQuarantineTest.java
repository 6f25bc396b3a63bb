package io.zinniawood.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CrashQuarantineTest {
  private static final PromptPartId DEADLY = new PromptPartId("deadly");
  private static final PromptPartId OPENING = new PromptPartId("opening");

  private final CrashQuarantine quarantine = new CrashQuarantine();
  private long nowNanos = TimeUnit.SECONDS.toNanos(50);
  private int crashes;

  private void advanceMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static CrashCandidate candidate(String part, long waitedMillis, int position) {
    return new CrashCandidate(
        new PromptPartId(part), waitedMillis, StartOrder.ARRIVAL, position, Optional.empty());
  }

  private List<QuarantineChange> crash(CrashCandidate... candidates) {
    return quarantine.crashed(
        new CrashId(new EndpointId("e" + ++crashes), 1), nowNanos, List.of(candidates), nowNanos);
  }

  private boolean holds(String part) {
    return !quarantine.held(List.of(new PromptPartId(part))).isEmpty();
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
      quarantine.trialEnded(DEADLY, true, nowNanos);
      assertThat(quarantine.trialDue(DEADLY, nowNanos), is(false));
    }
    assertThat(waits, is(List.of(30L, 60L, 120L)));
  }

  // Each of several routers sees a part of the crashes only.
  @Test
  void noticesOfOtherRoutersCompleteTheEvidence() {
    CrashQuarantine other = new CrashQuarantine();
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
    assertThat(other.held(List.of(DEADLY)), is(List.of(DEADLY)));
  }

  // Crashes that two routers know of must count once, or the next trial comes far too late.
  @Test
  void crashesOfNoticesAreNotCountedTwice() {
    CrashQuarantine other = new CrashQuarantine();
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
    CrashQuarantine other = new CrashQuarantine();
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

  private static CrashCandidate request(String request, long waitedMillis) {
    return new CrashCandidate(
        new RequestFingerprint(request),
        waitedMillis,
        StartOrder.ARRIVAL,
        1,
        Optional.of(new RequestFingerprint(request)));
  }

  private static CrashCandidate partOf(String request, String part, long waitedMillis) {
    return new CrashCandidate(
        new PromptPartId(part),
        waitedMillis,
        StartOrder.ARRIVAL,
        0,
        Optional.of(new RequestFingerprint(request)));
  }

  private boolean holdsRequest(String request) {
    return !quarantine.held(List.of(new RequestFingerprint(request))).isEmpty();
  }

  // A request that came back is no evidence against a part that other requests share with it.
  @Test
  void requestThatCameBackIsHeldInsteadOfItsPart() {
    for (int crash = 0; crash < 2; crash++) {
      crash(partOf("r1", "subject", 150), request("r1", 150));
      advanceMillis(500);
    }
    assertThat(holdsRequest("r1"), is(true));
    assertThat(quarantine.heldParts(), is(0));
  }

  // A part that crashes endpoints must be found although one request with it was held first.
  @Test
  void partIsHeldWhenAnotherRequestWithItCrashesAnEndpoint() {
    for (String request : List.of("r1", "r1", "r2")) {
      crash(partOf(request, "deadly", 150), request(request, 150));
      advanceMillis(500);
    }
    assertThat(holds("deadly"), is(true));
  }

  // Requests that never run again must not hide the one that is at each crash.
  @Test
  void requestAtThreeCrashesIsHeldWhoeverWaitedLonger() {
    for (int crash = 0; crash < 3; crash++) {
      crash(request("long" + crash, 900), request("longer" + crash, 990), request("r1", 100));
      advanceMillis(500);
    }
    assertThat(holdsRequest("r1"), is(true));
    assertThat(quarantine.heldRequests(), is(1));
  }

  // A repeat that follows each crash at once must not pass for crashes with a common cause.
  @Test
  void requestThatIsSentAnewAfterEachCrashIsHeldAfterThreeCrashesOfOneMoment() {
    for (int crash = 0; crash < 3; crash++) {
      assertThat("after " + crash + " crashes", holdsRequest("r1"), is(false));
      crash(plainRequest("r1", 20), plainRequest("other", 90));
      advanceMillis(30);
    }
    assertThat(holdsRequest("r1"), is(true));
    assertThat(quarantine.heldRequests(), is(1));
  }

  // Copies of a request that overlap must not pass for crashes with a common cause.
  @Test
  void requestWhoseCopiesOverlapIsHeldAfterThreeCrashesOfOneMoment() {
    crash(plainRequest("r1", 109));
    advanceMillis(21);
    crash(plainRequest("r1", 39), plainRequest("other", 223));
    advanceMillis(75);
    assertThat(holdsRequest("r1"), is(false));
    crash(plainRequest("r1", 95), plainRequest("third", 2));
    assertThat(holdsRequest("r1"), is(true));
    assertThat(quarantine.heldRequests(), is(1));
  }

  // Endpoints of a rack that fail together run many copies of a request that is asked for often.
  @Test
  void requestAtEndpointsThatFailTogetherIsNotHeld() {
    for (int endpoint = 0; endpoint < 6; endpoint++) {
      crash(plainRequest("hot", 200));
      advanceMillis(5);
    }
    assertThat(quarantine.heldRequests(), is(0));
  }

  private static CrashCandidate plainRequest(String request, long waitedMillis) {
    return new CrashCandidate(
        new RequestFingerprint(request), waitedMillis, StartOrder.UNKNOWN, 0, Optional.empty());
  }

  // Memory must not grow with the traffic: only requests that were at a crash are remembered.
  @Test
  void firstEventsOfRequestsThatWereAtNoCrashAreNotRemembered() {
    quarantine.firstEvent(List.of(OPENING), nowNanos);
    for (int number = 0; number < 10_000; number++) {
      quarantine.firstEvent(List.of(new RequestFingerprint("r" + number)), nowNanos);
    }
    advanceMillis(100);
    crash(partOf("r1", "opening", 150), partOf("r1", "new", 150));
    advanceMillis(400);
    crash(partOf("r2", "opening", 150), partOf("r2", "new", 150));
    assertThat(holds("new"), is(true));
    assertThat(holds("opening"), is(false));
  }

  // Each held request must reach the other routers, also if they do not all fit into one packet.
  @Test
  void allHeldRequestsAreToldInTurn() {
    CrashQuarantine other = new CrashQuarantine();
    for (int number = 0; number < 48; number++) {
      for (int crash = 0; crash < 2; crash++) {
        crash(request("%016d".formatted(number), 150));
        advanceMillis(150);
      }
    }
    for (int message = 0; message < 4; message++) {
      other.noticeReceived(quarantine.notice(nowNanos), nowNanos);
    }
    assertThat(quarantine.heldRequests(), is(48));
    assertThat(other.heldRequests(), is(48));
  }

  // Crashes must reach the other routers also while many subjects are held.
  @Test
  void crashIsToldWhileManyRequestsAreHeld() {
    for (int number = 0; number < 48; number++) {
      for (int crash = 0; crash < 2; crash++) {
        crash(request("%016d".formatted(number), 150));
        advanceMillis(150);
      }
    }
    CrashQuarantine other = new CrashQuarantine();
    crash(request("r1", 150));
    other.noticeReceived(quarantine.notice(nowNanos), nowNanos);
    advanceMillis(500);
    CrashId far = new CrashId(new EndpointId("far"), 1);
    other.crashed(far, nowNanos, List.of(request("r1", 150)), nowNanos);
    assertThat(other.held(List.of(new RequestFingerprint("r1"))).size(), is(1));
  }

  // Each answer costs a fingerprint of its request while requests are suspected.
  @Test
  void requestIsSuspectedOnlyWhileItsCrashIsEvidence() {
    crash(plainRequest("r1", 20));
    advanceMillis(TimeUnit.MINUTES.toMillis(4));
    assertThat(quarantine.suspectsRequests(nowNanos), is(true));
    advanceMillis(TimeUnit.MINUTES.toMillis(2));
    assertThat(quarantine.suspectsRequests(nowNanos), is(false));
  }

  // A request that nobody sends any more must not be kept and told for good.
  @Test
  void heldRequestThatDoesNotComeAgainIsForgotten() {
    for (int crash = 0; crash < 2; crash++) {
      crash(request("r1", 150));
      advanceMillis(500);
    }
    advanceMillis(TimeUnit.MINUTES.toMillis(15));
    crash(request("r2", 150));
    assertThat(quarantine.heldRequests(), is(0));
  }
}
