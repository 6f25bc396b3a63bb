package io.zinniawood.dist;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Processor time and memory of a process, read from {@code /proc} on Linux.
 *
 * @param cpuMillis processor time in user and system mode, in milliseconds
 * @param residentBytes resident memory in bytes
 */
public record ProcessUsage(long cpuMillis, long residentBytes) {
  /** Length of a clock tick; USER_HZ is 100 on Linux. */
  private static final long MILLIS_PER_TICK = 10;

  /**
   * Index of {@code utime} among the fields of {@code /proc/PID/stat} that follow the process name;
   * {@code stime} is the next one.
   */
  private static final int USER_TICKS_INDEX = 11;

  static int openDescriptors(long pid) {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
      return (int) descriptors.count();
    } catch (IOException unreadable) {
      throw new UncheckedIOException(
          "cannot list /proc/" + pid + "/fd; the process may have ended", unreadable);
    }
  }

  static ProcessUsage of(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      long ticks =
          Long.parseLong(fields[USER_TICKS_INDEX]) + Long.parseLong(fields[USER_TICKS_INDEX + 1]);
      long residentKib =
          Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
              .filter(line -> line.startsWith("VmRSS:"))
              .map(line -> line.replaceAll("\\D", ""))
              .mapToLong(Long::parseLong)
              .findFirst()
              .orElse(0);
      return new ProcessUsage(ticks * MILLIS_PER_TICK, residentKib * 1024);
    } catch (IOException unreadable) {
      throw new UncheckedIOException(
          "cannot read /proc/" + pid + "; the process may have ended", unreadable);
    }
  }
}
