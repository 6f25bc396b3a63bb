package io.zinniawood.standin.platform;

import io.zinniawood.standin.http.DelayTimer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** VM list whose changes become visible after a delay. */
final class VmDirectory {
  private final DelayTimer timer;
  private final long delayMillis;
  private final TreeMap<String, VmRecord> visible = new TreeMap<>();
  private long version = 1;

  VmDirectory(DelayTimer timer, long delayMillis, List<VmRecord> initial) {
    this.timer = timer;
    this.delayMillis = delayMillis;
    initial.forEach(vm -> visible.put(vm.vm(), vm));
  }

  record Listing(long version, List<VmRecord> vms) {}

  synchronized Listing listing() {
    return new Listing(version, new ArrayList<>(visible.values()));
  }

  void put(VmRecord vm) {
    applyAfterDelay(() -> visible.put(vm.vm(), vm));
  }

  void remove(String vm) {
    applyAfterDelay(() -> visible.remove(vm));
  }

  private void applyAfterDelay(Runnable change) {
    if (delayMillis <= 0) {
      apply(change);
    } else {
      timer.afterMillis(delayMillis, () -> apply(change));
    }
  }

  private synchronized void apply(Runnable change) {
    change.run();
    version++;
  }
}
