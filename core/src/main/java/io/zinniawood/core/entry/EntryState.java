package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.entry.limits.AccountUse;
import io.zinniawood.core.entry.membership.Hashing;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;

/**
 * State of the entry's decisions. All parts are immutable; a token replaces one session in the map
 * of sessions and shares everything else.
 *
 * @param self this entry
 * @param ids source of ids and random numbers
 * @param lifecycle phase of the process
 * @param ticking whether the periodic timers were started
 * @param configuration configuration in force
 * @param fleet endpoints and entries
 * @param sessions stage sessions by id
 * @param requests open requests by id
 * @param accounts use by client account
 */
public record EntryState(
    EntryNode self,
    IdSource ids,
    Lifecycle lifecycle,
    boolean ticking,
    Option<AcceptedConfiguration> configuration,
    Fleet fleet,
    Map<SessionId, Session> sessions,
    Map<RequestId, OpenRequest> requests,
    Map<ClientAccountId, AccountUse> accounts) {

  /**
   * Returns the state of an entry that has just started.
   *
   * @param self identity of the entry
   * @param seed random seed, different in each run
   */
  public static EntryState initial(EntryNode self, long seed) {
    return new EntryState(
        self,
        new IdSource(Hashing.combine(seed, Hashing.of(self.vm().value())), 0),
        Lifecycle.STARTING,
        false,
        Option.none(),
        Fleet.empty(),
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty());
  }

  /** Returns the number of requests that have not been answered. */
  public int openRequests() {
    return requests.size();
  }

  Option<ClusterConfiguration> cluster() {
    return configuration.map(AcceptedConfiguration::cluster);
  }

  EntryState withIds(IdSource changed) {
    return new EntryState(
        self, changed, lifecycle, ticking, configuration, fleet, sessions, requests, accounts);
  }

  EntryState withLifecycle(Lifecycle changed) {
    return new EntryState(
        self, ids, changed, ticking, configuration, fleet, sessions, requests, accounts);
  }

  EntryState withTicking() {
    return new EntryState(
        self, ids, lifecycle, true, configuration, fleet, sessions, requests, accounts);
  }

  EntryState withConfiguration(AcceptedConfiguration changed) {
    return new EntryState(
        self, ids, lifecycle, ticking, Option.some(changed), fleet, sessions, requests, accounts);
  }

  EntryState withFleet(Fleet changed) {
    return new EntryState(
        self, ids, lifecycle, ticking, configuration, changed, sessions, requests, accounts);
  }

  EntryState withSessions(Map<SessionId, Session> changed) {
    return new EntryState(
        self, ids, lifecycle, ticking, configuration, fleet, changed, requests, accounts);
  }

  EntryState withRequests(Map<RequestId, OpenRequest> changed) {
    return new EntryState(
        self, ids, lifecycle, ticking, configuration, fleet, sessions, changed, accounts);
  }

  EntryState withAccounts(Map<ClientAccountId, AccountUse> changed) {
    return new EntryState(
        self, ids, lifecycle, ticking, configuration, fleet, sessions, requests, changed);
  }
}
