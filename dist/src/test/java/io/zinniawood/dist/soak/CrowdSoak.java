package io.zinniawood.dist.soak;

import java.util.List;

/**
 * Runs the soak with crowds of callers beside the faults: {@code benchmark.sh soak.CrowdSoak
 * FIRST-SEED LAST-SEED}. Both seeds are included.
 */
public final class CrowdSoak {
  private static final long RECOVERY_SECONDS = 12;

  private CrowdSoak() {}

  /** Runs the seeds of the arguments; the exit code is 1 if a run found a violation. */
  public static void main(String[] args) throws Exception {
    int failures = 0;
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      List<String> violations = RelaySoak.runSeed(seed, RECOVERY_SECONDS, SoakFaults::startCrowd);
      System.out.println("seed " + seed + ": " + violations);
      failures += violations.isEmpty() ? 0 : 1;
    }
    System.out.println(failures + " seeds with violations");
    System.exit(failures == 0 ? 0 : 1);
  }
}
