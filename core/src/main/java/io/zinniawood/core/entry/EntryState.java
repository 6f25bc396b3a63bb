package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;

/**
 * State of the entry's reducer. All parts are immutable; handling a token replaces one session in
 * the map of sessions and shares everything else.
 *
 * @param self this entry
 * @param ids generator of ids and random numbers
 * @param lifecycle phase of the process
 * @param configuration configuration in force, none before the first one
 * @param fleet endpoints and entries
 * @param sessions stage sessions by id
 * @param requests open requests by id
 * @param usage usage by client accounts, budgets and latency estimates
 * @param controller controller lease and repair
 */
public record EntryState(
    EntryNode self,
    IdGenerator ids,
    Lifecycle lifecycle,
    Option<AcceptedConfiguration> configuration,
    Fleet fleet,
    Map<SessionId, Session> sessions,
    Map<RequestId, OpenRequest> requests,
    Usage usage,
    ControllerState controller) {

  /**
   * Returns the state of an entry that has just started.
   *
   * @param seed random seed, different in each run
   */
  public static EntryState initial(EntryNode self, long seed) {
    return new EntryState(
        self,
        new IdGenerator(Hashing.combine(seed, Hashing.of(self.vm().value())), 0),
        Lifecycle.STARTING,
        Option.none(),
        Fleet.empty(),
        HashMap.empty(),
        HashMap.empty(),
        Usage.initial(),
        ControllerState.initial());
  }

  /** Returns the number of requests that have not been answered. */
  public int openRequests() {
    return requests.size();
  }

  Option<ClusterConfiguration> cluster() {
    return configuration.map(AcceptedConfiguration::cluster);
  }

  EntryState withIds(IdGenerator changed) {
    return new EntryState(
        self, changed, lifecycle, configuration, fleet, sessions, requests, usage, controller);
  }

  EntryState withLifecycle(Lifecycle changed) {
    return new EntryState(
        self, ids, changed, configuration, fleet, sessions, requests, usage, controller);
  }

  EntryState withConfiguration(AcceptedConfiguration changed) {
    return new EntryState(
        self, ids, lifecycle, Option.some(changed), fleet, sessions, requests, usage, controller);
  }

  EntryState withFleet(Fleet changed) {
    return new EntryState(
        self, ids, lifecycle, configuration, changed, sessions, requests, usage, controller);
  }

  EntryState withSessions(Map<SessionId, Session> changed) {
    return new EntryState(
        self, ids, lifecycle, configuration, fleet, changed, requests, usage, controller);
  }

  EntryState withRequests(Map<RequestId, OpenRequest> changed) {
    return new EntryState(
        self, ids, lifecycle, configuration, fleet, sessions, changed, usage, controller);
  }

  EntryState withUsage(Usage changed) {
    return new EntryState(
        self, ids, lifecycle, configuration, fleet, sessions, requests, changed, controller);
  }

  EntryState withController(ControllerState changed) {
    return new EntryState(
        self, ids, lifecycle, configuration, fleet, sessions, requests, usage, changed);
  }
}
