package io.zinniawood.entry.acceptance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.PollMode;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.VmId;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ConfigurationSyncTest {
  /** Far longer than a round takes, so that only a hang makes a test time out. */
  private static final long TIMEOUT_SECONDS = 20;

  private final InMemoryPlatform platform = new InMemoryPlatform();

  // Guards against an edit that is published only on the entry that accepted it.
  @Test
  void editsArePublishedOnAllEntriesInOrder() throws InterruptedException {
    Node first = new Node("v1", 1);
    Node second = new Node("v2", 2);
    try (first.sync;
        second.sync) {
      platform.put("config/a.toml", "[services.credit]\n");
      platform.put("config/a.toml~", "not TOML");
      first.sync.setPollMode(PollMode.POLLING);
      second.sync.setPollMode(PollMode.POLLING);
      AcceptedConfiguration one = first.takePublished();
      assertThat(one.generation().value(), is(1L));
      assertThat(second.takePublished(), equalTo(one));
      platform.put("config/b.toml", "[services.refill]\n");
      AcceptedConfiguration two = first.takePublished();
      assertThat(two.generation().value(), is(2L));
      assertThat(two.cluster().services().size(), is(2));
      assertThat(second.takePublished(), equalTo(two));
    }
  }

  // Guards against a following entry that ignores configurations of peers, or adopts older ones.
  @Test
  void followingEntryAdoptsHigherGenerationsOfPeers() throws InterruptedException {
    Node polling = new Node("v1", 1);
    Node following = new Node("v2", 2);
    try (polling.sync;
        following.sync) {
      platform.put("config/a.toml", "[services.credit]\n");
      polling.sync.setPollMode(PollMode.POLLING);
      AcceptedConfiguration one = polling.takePublished();
      following.sync.start();
      assertThat(following.takePublished(), equalTo(one));
      platform.put("config/a.toml", "[services.refill]\n");
      AcceptedConfiguration two = polling.takePublished();
      following.sync.adoptIfNewer(two);
      following.sync.adoptIfNewer(one);
      assertThat(following.takePublished(), equalTo(two));
      following.sync.pollNow();
      polling.sync.pollNow();
    }
    assertThat(following.published.isEmpty(), is(true));
  }

  // Guards against a second generation for one edit when the response to the row write is lost.
  @Test
  void lostWriteResponseCreatesOneGeneration() throws InterruptedException {
    Node node = new Node("v1", 1);
    try (node.sync) {
      platform.loseWriteResponses(1);
      platform.put("config/a.toml", "[services.credit]\n");
      node.sync.setPollMode(PollMode.POLLING);
      assertThat(node.takePublished().generation().value(), is(1L));
      platform.put("config/a.toml", "[services.refill]\n");
      assertThat(node.takePublished().generation().value(), is(2L));
    }
  }

  // Guards against a rejection that does not state file, line and key of the fault.
  @Test
  void invalidEditIsReportedWithItsPosition() throws InterruptedException {
    Node node = new Node("v1", 1);
    try (node.sync) {
      platform.put("config/a.toml", "[services.credit]\nkey_retention_hours = 0\n");
      node.sync.setPollMode(PollMode.POLLING);
      AcceptanceNotice notice = node.notices.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(
          ((AcceptanceNotice.Rejected) notice).faults(),
          contains(
              "a.toml:2:1: services.credit.key_retention_hours: found 0, expected an integer from"
                  + " 1 to 8784"));
    }
    assertThat(node.published.isEmpty(), is(true));
  }

  private final class Node {
    final BlockingQueue<AcceptedConfiguration> published = new LinkedBlockingQueue<>();
    final BlockingQueue<AcceptanceNotice> notices = new LinkedBlockingQueue<>();
    final ConfigurationSync sync;

    Node(String vm, long seed) {
      sync =
          new ConfigurationSync(
              new VmId(vm), seed, 20, platform, platform.table(), published::add, notices::add);
    }

    AcceptedConfiguration takePublished() throws InterruptedException {
      AcceptedConfiguration next = published.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (next == null) {
        throw new AssertionError("no configuration was published; notices: " + notices);
      }
      return next;
    }
  }
}
