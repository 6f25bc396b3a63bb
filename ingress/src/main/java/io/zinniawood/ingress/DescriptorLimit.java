package io.zinniawood.ingress;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

/**
 * Shares of the descriptors of a process that callers' connections, and those that their requests
 * open, may take. A quarter is left for the store, peers, files and new connections.
 *
 * @param maxConnections number of connections above which an idle one gives way to a new one
 * @param maxAccepted number of new connections that are accepted before idle ones give way
 */
public record DescriptorLimit(int maxConnections, int maxAccepted) {
  /** Maximum where the operating system allows more; an idle connection takes 10 KB of heap. */
  private static final int MAX_CONNECTIONS = 8_192;

  private static final int MAX_ACCEPTED = 1_024;
  private static final int DIVISOR = 16;
  private static final int CONNECTIONS_FACTOR = 12;

  /**
   * Returns the shares under the limit of the operating system on this process.
   *
   * @param descriptorsPerCaller descriptors that a caller with a request in progress takes
   */
  public static DescriptorLimit ofProcess(int descriptorsPerCaller) {
    OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    return system instanceof UnixOperatingSystemMXBean unix
        ? of(unix.getMaxFileDescriptorCount(), descriptorsPerCaller)
        : of(0, descriptorsPerCaller);
  }

  /** Returns the shares of a number of descriptors, 0 or less if it is unknown. */
  static DescriptorLimit of(long descriptors, int descriptorsPerCaller) {
    if (descriptors <= 0) {
      return new DescriptorLimit(MAX_CONNECTIONS, MAX_ACCEPTED);
    }
    long part = Math.max(1, descriptors / DIVISOR);
    return new DescriptorLimit(
        (int) Math.min(MAX_CONNECTIONS, part * CONNECTIONS_FACTOR / descriptorsPerCaller),
        (int) Math.min(MAX_ACCEPTED, part));
  }
}
