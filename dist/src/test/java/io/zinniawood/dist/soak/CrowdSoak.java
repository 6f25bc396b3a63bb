package io.zinniawood.dist.soak;

/**
 * Runs the soak with crowds of callers beside the faults: {@code benchmark.sh soak.CrowdSoak
 * FIRST-SEED LAST-SEED}. Both seeds are included.
 */
public final class CrowdSoak {
  private CrowdSoak() {}

  /** Runs the seeds of the arguments; the exit code is 1 if a run found a violation. */
  public static void main(String[] args) throws Exception {
    RelaySoak.runSeeds(args, SoakFaults::startCrowd);
  }
}
