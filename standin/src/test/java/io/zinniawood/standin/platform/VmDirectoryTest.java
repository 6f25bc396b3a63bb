package io.zinniawood.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.http.DelayTimer;
import java.util.List;
import org.junit.jupiter.api.Test;

class VmDirectoryTest {
  private static final VmRecord VM =
      new VmRecord("vm-1", "ENTRY", "LIVE", "assen", "entries", "127.0.0.1", 7000);

  // Guards against a VM list that shows changes before its delay has passed.
  @Test
  void changesBecomeVisibleAfterTheDelay() throws Exception {
    DelayTimer timer = new DelayTimer("test");
    VmDirectory directory = new VmDirectory(timer, 200, List.of());
    long startNanos = System.nanoTime();
    directory.put(VM);
    while (directory.listing().vms().isEmpty()) {
      Thread.onSpinWait();
    }
    assertThat(System.nanoTime() - startNanos >= 200_000_000L, is(true));
    assertThat(directory.listing().version(), is(2L));
    timer.close();
  }
}
