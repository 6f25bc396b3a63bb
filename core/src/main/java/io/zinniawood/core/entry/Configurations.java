package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/**
 * Applies accepted configurations. One whose generation is not higher than the present one is
 * ignored.
 */
final class Configurations {
  private Configurations() {}

  /** Applies a configuration if its generation is higher than the present one. */
  static void apply(Turn turn, AcceptedConfiguration configuration) {
    boolean newer =
        turn.state()
            .configuration()
            .forAll(known -> known.generation().compareTo(configuration.generation()) < 0);
    if (!newer) {
      return;
    }
    turn.update(state -> state.withConfiguration(configuration));
    turn.recordIncident(
        IncidentKind.CONFIGURATION_ACCEPTED,
        "generation " + configuration.generation(),
        "configuration %s is in force".formatted(configuration.digest()));
    if (turn.state().lifecycle() == Lifecycle.STARTING) {
      turn.update(state -> state.withLifecycle(Lifecycle.READY));
      turn.emit(new EntryEffect.SetReadiness(Readiness.READY));
      part(turn, "lease", () -> Leases.start(turn));
      Maintenance.start(turn);
    }
    turn.update(state -> state.withFleet(state.fleet().withoutPlans()));
    part(
        turn,
        "usage",
        () ->
            turn.update(
                state -> state.withUsage(state.usage().restrictedTo(configuration.cluster()))));
    part(turn, "subset", () -> Membership.connectSubset(turn));
  }

  /** Runs a part of the change; its failure must not keep the old configuration in force. */
  private static void part(Turn turn, String name, Runnable part) {
    FailureContainment.run(turn, "configuration-" + name, Option.none(), part);
  }
}
