package io.zinniawood.standin.platform;

import java.util.List;

/**
 * Settings of the platform stand-in.
 *
 * @param port TCP port on loopback, 0 for a free one
 * @param vmListDelayMillis delay in milliseconds until a change is visible in the VM list
 * @param weightTransfersPerSecond rate limit of the weight store; 0 for none
 * @param weightBurst number of weight transfers that may start in a burst
 * @param readsPerSecond rate limit for reads of table and object store together; 0 for none
 * @param writesPerSecond rate limit for writes of table and object store together; 0 for none
 * @param vms VMs that are listed from the start
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

  /** Returns settings without delay or rate limits, on a free port. */
  public static PlatformSettings unlimited() {
    return new PlatformSettings(0, 0, 0, 1, 0, 0, List.of());
  }
}
