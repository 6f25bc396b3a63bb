package io.zinniawood.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** VM list whose changes become visible after a delay. */
final class VmDirectory {
  private final ScheduledExecutorService scheduler;
  private final long delayMillis;
  private final TreeMap<String, VmRecord> visible = new TreeMap<>();
  private long version = 1;

  VmDirectory(ScheduledExecutorService scheduler, long delayMillis, List<VmRecord> initial) {
    this.scheduler = scheduler;
    this.delayMillis = delayMillis;
    initial.forEach(vm -> visible.put(vm.vm(), vm));
  }

  record Listing(long version, List<VmRecord> vms) {}

  synchronized Listing listing() {
    return new Listing(version, new ArrayList<>(visible.values()));
  }

  void put(VmRecord vm) {
    later(() -> visible.put(vm.vm(), vm));
  }

  void remove(String vm) {
    later(() -> visible.remove(vm));
  }

  private void later(Runnable change) {
    if (delayMillis <= 0) {
      apply(change);
    } else {
      scheduler.schedule(() -> apply(change), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void apply(Runnable change) {
    change.run();
    version++;
  }
}
