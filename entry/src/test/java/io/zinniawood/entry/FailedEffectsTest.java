package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.ClaimReadResult;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.model.ClaimKey;
import java.net.http.HttpResponse.BodyHandlers;
import org.junit.jupiter.api.Test;

/** Effects of the entry that fail with an exception. */
class FailedEffectsTest {
  private static Vector<EntryEffect> readClaim(EntryEvent event) {
    return event instanceof EntryEvent.ServiceRequestArrived arrived
        ? Vector.of(
            new EntryEffect.ReadClaim(
                arrived.request(),
                new ClaimKey(arrived.clientAccount(), arrived.service(), arrived.key().get())))
        : Vector.empty();
  }

  // A call with an idempotency key would wait for its deadline.
  @Test
  void failedReadOfClaimIsAnsweredAsUnavailable() {
    FakePlatform platform = new FakePlatform();
    try (EntryHarness entry = new EntryHarness(platform, FailedEffectsTest::readClaim)) {
      entry.awaitReady();
      platform.failsReads = true;
      var unused =
          entry.client.sendAsync(
              entry.request("/services/credit/a").header("Idempotency-Key", "k").build(),
              BodyHandlers.ofString());
      EntryEvent.ClaimRead read = entry.awaitEvent(EntryEvent.ClaimRead.class);
      assertThat(read.reading(), equalTo(new ClaimReadResult.Unavailable()));
    }
  }

  // An error in one poll ended all later polls of the VM list and the configuration.
  @Test
  void pollsGoOnAfterAnError() {
    FakePlatform platform = new FakePlatform();
    platform.failsVmListReads = true;
    try (EntryHarness entry = new EntryHarness(platform, event -> Vector.empty())) {
      EntryHarness.await(() -> platform.vmListReads.get() > 2);
      platform.failsVmListReads = false;
      entry.awaitReady();
    }
  }
}
