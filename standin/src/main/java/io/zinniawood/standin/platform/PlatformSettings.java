package io.zinniawood.standin.platform;

import java.util.List;

/**
 * Settings of the platform stand-in.
 *
 * @param port TCP port on loopback, 0 for a free one
 * @param vmListDelayMillis time by which the VM list lags in milliseconds
 * @param weightTransfersPerSecond rate limit of the weight store, 0 for none
 * @param weightBurst transfers that may start at once
 * @param readsPerSecond read limit of table and object store together, 0 for none
 * @param writesPerSecond write limit of table and object store together, 0 for none
 * @param vms VMs that are in the list from the start
 */
public record PlatformSettings(
    int port,
    long vmListDelayMillis,
    double weightTransfersPerSecond,
    double weightBurst,
    double readsPerSecond,
    double writesPerSecond,
    List<VmRecord> vms) {
  /** Copies the list of VMs. */
  public PlatformSettings {
    vms = List.copyOf(vms);
  }

  /** Returns settings without delay and limits on a free port. */
  public static PlatformSettings unlimited() {
    return new PlatformSettings(0, 0, 0, 1, 0, 0, List.of());
  }
}
