package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.vavr.control.Option;
import io.zinniawood.core.entry.ClaimReleaseResult;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.model.Payload;
import io.zinniawood.entry.FakePlatform.NextWrite;
import io.zinniawood.entry.internal.store.ClaimReleaser;
import io.zinniawood.entry.internal.store.LeaseStore;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.claim.ClaimRowCodec;
import io.zinniawood.store.claim.ClaimRowKey;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

class StoreEffectsTest {
  private static final System.Logger LOGGER = System.getLogger("store-test");
  private static final ClaimKey KEY =
      new ClaimKey(
          new ClientAccountId("kiosks"), new ServiceName("credit"), new IdempotencyKey("k"));

  private final FakePlatform platform = new FakePlatform();
  private final Deque<EntryEvent> events = new ArrayDeque<>();
  private final VmId vm = new VmId("entry-1");
  private final ClaimReleaser releaser = new ClaimReleaser(vm, platform, events::add, LOGGER);
  private final LeaseStore leaseStore = new LeaseStore(platform, events::add, LOGGER);

  private ClaimReleaseResult releaseClaim(String attempt, NextWrite mode) {
    platform.nextWrite = mode;
    releaser.release(
        new EntryEffect.ReleaseClaim(new RequestId("r"), new AttemptId(attempt), KEY, "d"));
    return ((EntryEvent.ClaimReleaseCompleted) events.remove()).resolution();
  }

  private void storeClaim(ClaimState state) {
    ClaimRow row =
        new ClaimRow(
            new EndpointId("e1"),
            new Incarnation(1),
            new AttemptId("a1"),
            "d",
            state,
            new Fence(0),
            Option.none());
    String key = ClaimRowKey.of(KEY);
    platform.rows.put(key, new TableRow(key, 1, Payload.wrap(new ClaimRowCodec().encode(row))));
  }

  // Guards against an attempt that still runs, with the fence of an earlier release, after not-run
  // was reported for it.
  @Test
  void eachReleaseRaisesTheFence() {
    assertThat(
        releaseClaim("a1", NextWrite.NORMAL),
        equalTo(new ClaimReleaseResult.Released(new Fence(1))));
    assertThat(
        releaseClaim("a1", NextWrite.NORMAL),
        equalTo(new ClaimReleaseResult.Released(new Fence(1))));
    assertThat(
        releaseClaim("a2", NextWrite.NORMAL),
        equalTo(new ClaimReleaseResult.Released(new Fence(2))));
  }

  // Guards against treating a lost response as a failure or a success without reading the row.
  @Test
  void lostResponsesAreResolvedByReadingBack() {
    assertThat(
        releaseClaim("a1", NextWrite.LOSE_RESPONSE_AFTER_WRITE),
        equalTo(new ClaimReleaseResult.Released(new Fence(1))));
    platform.rows.clear();
    assertThat(
        releaseClaim("a1", NextWrite.LOSE_REQUEST),
        equalTo(new ClaimReleaseResult.Released(new Fence(1))));
    platform.rows.clear();
    storeClaim(ClaimState.STARTED);
    assertThat(
        releaseClaim("a1", NextWrite.LOSE_REQUEST), instanceOf(ClaimReleaseResult.Held.class));
  }

  // Guards against reporting not-run, and against a retry, for a call whose claim may be lost.
  @Test
  void callFromBeforeRestoreIsNotReleasedWithoutItsRow() {
    releaser.read(new EntryEffect.ReadClaim(new RequestId("r"), KEY));
    events.remove();
    platform.absentVersion = PackedStoreVersion.of(1, 0);
    ClaimReleaseResult released = releaseClaim("a1", NextWrite.NORMAL);
    assertThat(released, instanceOf(ClaimReleaseResult.Held.class));
    assertThat(((ClaimReleaseResult.Held) released).row().state(), equalTo(ClaimState.STARTED));
    assertThat(releaseClaim("a1", NextWrite.NORMAL), equalTo(released));
  }

  // Guards against reporting not-run for a call that an agent has claimed, or during an outage.
  @Test
  void startedClaimsAndOutagesAreNotReleased() {
    storeClaim(ClaimState.STARTED);
    assertThat(releaseClaim("a1", NextWrite.NORMAL), instanceOf(ClaimReleaseResult.Held.class));
    assertThat(
        releaseClaim("a1", NextWrite.UNAVAILABLE), equalTo(new ClaimReleaseResult.Unavailable()));
    String key = ClaimRowKey.of(KEY);
    platform.rows.put(key, new TableRow(key, 1, Payload.ofText("{")));
    assertThat(releaseClaim("a1", NextWrite.NORMAL), equalTo(new ClaimReleaseResult.Unavailable()));
  }

  private EntryEvent writeLease(long expectedVersion, LeaseRow row, NextWrite mode) {
    platform.nextWrite = mode;
    leaseStore.write(expectedVersion, row);
    return events.remove();
  }

  // Guards against two lease holders: each writer must get the stored row, even after a lost
  // response or a conflict.
  @Test
  void leaseWritesReportTheStoredRow() {
    LeaseRow own = new LeaseRow(vm, new FencingNumber(1), 0);
    LeaseRow other = new LeaseRow(new VmId("entry-2"), new FencingNumber(2), 0);
    leaseStore.read();
    assertThat(events.remove(), equalTo(new EntryEvent.LeaseRead(Option.none(), 0)));
    EntryEvent present = new EntryEvent.LeaseRead(Option.some(own), 1);
    assertThat(writeLease(0, own, NextWrite.LOSE_RESPONSE_AFTER_WRITE), equalTo(present));
    assertThat(writeLease(0, other, NextWrite.NORMAL), equalTo(present));
    assertThat(writeLease(1, other, NextWrite.LOSE_REQUEST), equalTo(present));
    assertThat(
        writeLease(1, other, NextWrite.UNAVAILABLE), equalTo(new EntryEvent.LeaseUnavailable()));
    assertThat(
        writeLease(1, other, NextWrite.NORMAL),
        equalTo(new EntryEvent.LeaseRead(Option.some(other), 2)));
  }
}
