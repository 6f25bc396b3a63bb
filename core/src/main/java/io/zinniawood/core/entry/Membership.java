package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.entry.membership.ConnectionState;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.membership.Placement;
import io.zinniawood.core.entry.membership.SubsetSelection;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;

/**
 * Maintains the view of the endpoints from the VM list, the agents' messages and the connections.
 */
final class Membership {
  /** Number of endpoints of each pool to connect to before a configuration is accepted. */
  private static final int DEFAULT_SUBSET_SIZE = 16;

  /** Maximum number of endpoints of each pool to which the holder of the lease connects. */
  private static final int CONTROLLER_SUBSET_SIZE = 512;

  private Membership() {}

  static void handleVmList(Turn turn, EntryEvent.VmListReceived event) {
    if (event.version() <= turn.fleet().listVersion()) {
      return;
    }
    int entries = event.vms().count(vm -> vm.role() == VmRole.ENTRY && vm.state() == VmState.LIVE);
    Vector<VmEntry> endpoints = event.vms().filter(vm -> vm.role() == VmRole.ENDPOINT);
    Set<EndpointId> listed = endpoints.map(Membership::endpointId).toSet();
    var members =
        turn.fleet()
            .members()
            .mapValues(
                member ->
                    listed.contains(member.endpoint())
                        ? member
                        : member.with(member.placement().unlisted()));
    for (VmEntry vm : endpoints) {
      EndpointId id = endpointId(vm);
      Placement placement =
          new Placement(
              vm.address(), vm.pool(), vm.dataCentre(), true, vm.state() == VmState.LEAVING);
      Member member =
          members
              .get(id)
              .map(known -> known.with(placement))
              .getOrElse(() -> Member.unconnected(id, placement));
      members = members.put(id, member);
    }
    Fleet fleet = turn.fleet().withVmList(event.version(), entries, members);
    turn.update(state -> state.withFleet(fleet));
    Leases.updateRole(turn, event.vms());
    connectSubset(turn);
  }

  /**
   * Connects to the chosen subset of each pool and disconnects from other endpoints without work in
   * flight.
   */
  static void connectSubset(Turn turn) {
    Vector<Member> candidates =
        turn.fleet()
            .members()
            .values()
            .filter(member -> member.placement().listed() && !member.leaving())
            .toVector();
    Set<EndpointId> chosen =
        SubsetSelection.choose(turn.state().self().vm(), candidates, subsetSize(turn));
    for (Member member : candidates.sortBy(Member::endpoint)) {
      if (chosen.contains(member.endpoint())) {
        connectIfIdle(turn, member);
      } else if (member.connected() && member.workload().inFlight() == 0) {
        turn.updateMember(
            member.endpoint(),
            known -> known.with(known.connection().withState(ConnectionState.IDLE)));
        turn.emit(new EntryEffect.DisconnectAgent(member.endpoint()));
      }
    }
  }

  /**
   * Returns the number of endpoints of each pool to connect to. The holder of the lease needs
   * connections to all endpoints before it orders repairs. Pools above {@link
   * #CONTROLLER_SUBSET_SIZE} get no repair, as connections to all of their endpoints would exceed
   * the control budget of a node.
   */
  private static int subsetSize(Turn turn) {
    return turn.state().controller().lease().heldRow().isDefined()
        ? CONTROLLER_SUBSET_SIZE
        : turn.state()
            .cluster()
            .map(ClusterConfiguration::routing)
            .map(routing -> routing.subsetSize())
            .getOrElse(DEFAULT_SUBSET_SIZE);
  }

  static void handleConnected(Turn turn, EntryEvent.AgentConnected event) {
    AgentIdentity identity = event.identity();
    EndpointId endpoint = identity.endpoint();
    Placement announcedPlacement =
        new Placement(identity.address(), identity.pool(), identity.dataCentre(), false, false);
    Member known =
        turn.fleet()
            .member(endpoint)
            .getOrElse(() -> Member.unconnected(endpoint, announcedPlacement));
    Option<Incarnation> previous = known.connection().incarnation();
    Member member =
        known.withOpenConnection(
            identity.incarnation(), event.status().capability(), turn.nowNanos());
    turn.update(state -> state.withFleet(state.fleet().with(member)));
    handleStatus(turn, endpoint, event.status());
    if (known.connection().consecutiveFailures() > 0) {
      turn.recordIncident(
          IncidentKind.ENDPOINT_BACK,
          endpoint.value(),
          "connected after %d failures".formatted(known.connection().consecutiveFailures()));
    }
    if (previous.contains(identity.incarnation())) {
      SessionFailures.endpointReconnected(turn, endpoint, identity.incarnation());
      AttemptFailures.endpointReconnected(turn, endpoint, identity.incarnation());
    } else {
      turn.update(
          state ->
              state.withFleet(
                  state
                      .fleet()
                      .withTokenGaps(state.fleet().tokenGaps().withoutEndpoint(endpoint))));
      previous.forEach(lost -> SessionFailures.endpointLost(turn, endpoint, lost));
      previous.forEach(lost -> AttemptFailures.incarnationEnded(turn, endpoint, lost));
    }
  }

  /** Stores the status of an agent and reacts if the endpoint leaves or starts to accept work. */
  static void handleStatus(Turn turn, EndpointId endpoint, Message.Status status) {
    boolean acceptedWork = turn.fleet().member(endpoint).exists(Member::acceptsWork);
    boolean leaves =
        status.state() == ServingState.LEAVING
            && turn.fleet().member(endpoint).exists(member -> !member.leaving());
    turn.updateMember(
        endpoint,
        member ->
            member
                .with(
                    member
                        .announced()
                        .withStatus(
                            status.state(), status.capability(), status.load(), turn.nowNanos()))
                .with(
                    member
                        .workload()
                        .withLimit(
                            member
                                .workload()
                                .limit()
                                .withNominal(Member.nominalLimit(status.capability())))));
    if (leaves) {
      connectSubset(turn);
    }
    if (!acceptedWork && turn.fleet().member(endpoint).exists(Member::acceptsWork)) {
      SessionFailures.endpointAvailable(turn);
    }
  }

  /** Marks an endpoint as leaving, as its agent reports this before the VM list does. */
  static void markLeaving(Turn turn, EndpointId endpoint) {
    if (turn.fleet().member(endpoint).exists(member -> !member.leaving())) {
      turn.updateMember(endpoint, member -> member.with(member.announced().asLeaving()));
      connectSubset(turn);
    }
  }

  private static EndpointId endpointId(VmEntry vm) {
    return new EndpointId(vm.vm().value());
  }

  /** Opens a connection unless one is open, being opened or waiting for its backoff. */
  static void connectIfIdle(Turn turn, Member member) {
    if (member.connection().state() == ConnectionState.IDLE) {
      Connections.connect(turn, member);
    }
  }
}
