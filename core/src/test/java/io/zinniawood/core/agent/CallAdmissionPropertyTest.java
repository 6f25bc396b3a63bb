package io.zinniawood.core.agent;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CallAdmissionPropertyTest {
  // Guards against a second call of an attempt or a key, a call that was reported as not run, a
  // call beyond the concurrency limit, a call that starts after LEAVING, and an endless drain.
  // Each of these mutations makes the test fail:
  // - second call of an attempt: CallAdmission.dispatch does not look up ended or live attempts;
  // - call reported as not run: CallAdmission.cancel does not record the cancellation, does not
  //   abandon a claim that is being written, or reports a running call as not started;
  // - second call of a key: KeyClaims.completeClaim calls after OutcomeUnknown, or
  //   KeyClaims.callFailed releases the claim of a call with an unknown outcome;
  // - CallAdmission.startQueuedCalls ignores the concurrency limit;
  // - CallAdmission.refusalReason ignores LEAVING.
  @Property(seed = "20261204", tries = 4_000)
  void attemptsRunAtMostOnceAndNeverAfterReportedNotRun(
      @ForAll @Size(min = 5, max = 120) List<@IntRange(max = 1_000_000) Integer> choices) {
    CallSimulation simulation = new CallSimulation();
    choices.forEach(simulation::performAction);
    simulation.drainAndCheck();
  }
}
