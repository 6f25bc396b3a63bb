package io.zinniawood.dist;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and memory of a process, from the proc file system.
 *
 * @param cpuMillis processor time in milliseconds, user and system
 * @param residentBytes resident memory in bytes
 */
record ProcessUse(long cpuMillis, long residentBytes) {
  /** Clock ticks of 10 ms, the value of USER_HZ on Linux. */
  private static final long MILLIS_PER_TICK = 10;

  private static final int USER_TICKS_FIELD = 11;

  static ProcessUse of(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      long ticks =
          Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1]);
      long residentKib =
          Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
              .filter(line -> line.startsWith("VmRSS:"))
              .map(line -> line.replaceAll("\\D", ""))
              .mapToLong(Long::parseLong)
              .findFirst()
              .orElse(0);
      return new ProcessUse(ticks * MILLIS_PER_TICK, residentKib * 1024);
    } catch (IOException ended) {
      throw new UncheckedIOException("process " + pid + " has ended", ended);
    }
  }
}
