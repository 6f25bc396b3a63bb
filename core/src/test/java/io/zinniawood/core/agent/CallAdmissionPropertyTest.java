package io.zinniawood.core.agent;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CallAdmissionPropertyTest {
  // Guards against a second call of an attempt or a key, a call after a confirmed not-run, a call
  // beyond the limit, work that starts after LEAVING, and a drain that never ends. Each of these
  // mutations makes it fail: Gate.dispatch does not look up ended or live attempts (second call);
  // Gate.cancel leaves no mark, or does not abandon a claim that is being written, or confirms a
  // running call (call after not-run); Claims.claimed calls after Unavailable, or Claims.failed
  // releases the claim of an unknown outcome (second run of a key); Gate.startNext ignores the
  // limit; Gate.reasonToRefuse ignores LEAVING.
  @Property(seed = "20261204", tries = 4_000)
  void attemptsRunAtMostOnceAndNotRunIsTrue(
      @ForAll @Size(min = 5, max = 120) List<@IntRange(max = 1_000_000) Integer> choices) {
    CallSimulation world = new CallSimulation();
    choices.forEach(world::performAction);
    world.drainAndCheck();
  }
}
