package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.ingress.AccountedBytes;
import io.zinniawood.ingress.ConnectionMemory;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class MemoryBudgetTest {
  private static final int MEGABYTE = 1024 * 1024;

  private final List<Decision> lines = new ArrayList<>();
  private final MemoryBudget budget =
      new MemoryBudget(4 * MEGABYTE, 160 * MEGABYTE, 1_000, lines::add, () -> 0);

  /** Connection that releases everything when it is told to. */
  private final class FakeOwner implements ConnectionMemory.Owner {
    private final ConnectionMemory memory = budget.callers().open(this);
    private long untakenBytes;

    @Override
    public Set<ConnectionMemory.Part> releasableParts() {
      return EnumSet.allOf(ConnectionMemory.Part.class);
    }

    @Override
    public void giveWay() {
      memory.close();
    }

    @Override
    public long untakenBytes() {
      return untakenBytes;
    }

    @Override
    public void disconnect() {
      untakenBytes = 0;
    }

    @Override
    public boolean idle() {
      return true;
    }

    @Override
    public void closeIdle() {
      memory.close();
    }
  }

  // Guards against a share of heads that ignores the heap, and against a log line for each refusal.
  @Test
  void headsShareQuarterOfTheHeapAndTheShortageIsLoggedOnce() {
    assertThat(budget.account(MemoryUser.CALLER_CONNECTIONS).limitBytes(), is(40L * MEGABYTE));
    for (int count = 0; count < 30; count++) {
      new FakeOwner().memory.set(ConnectionMemory.Part.DECODER, 20 * MEGABYTE);
    }
    assertThat(budget.refusals(MemoryUser.CALLER_CONNECTIONS) > 1, is(true));
    assertThat(lines.stream().map(Decision::event).toList(), contains("memory-short"));
  }

  // Guards against answers that nobody takes and that leave no memory for those of other callers.
  @Test
  void callerWithMostUntakenBytesIsDisconnectedWhenAnswersFindNoMemory() {
    FakeOwner slow = new FakeOwner();
    FakeOwner slower = new FakeOwner();
    slow.untakenBytes = 1;
    slower.untakenBytes = 2;
    AccountedBytes complete =
        new AccountedBytes(budget.account(MemoryUser.ENDPOINT_ANSWERS), () -> {});
    assertThat(complete.append(Unpooled.wrappedBuffer(new byte[MEGABYTE])), is(false));
    assertThat(slower.untakenBytes + slow.untakenBytes, is(0L));
  }
}
