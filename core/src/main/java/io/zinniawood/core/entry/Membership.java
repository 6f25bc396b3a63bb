package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.entry.membership.Link;
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

/** Combines the VM list, the agents' notices and the connections to one view of the endpoints. */
final class Membership {
  /** Endpoints of each pool to connect to as long as no configuration says otherwise. */
  private static final int DEFAULT_SUBSET = 16;

  /** Endpoints of each pool to which the holder of the lease connects. */
  private static final int CONTROLLER_SUBSET = 512;

  private Membership() {}

  static void listReceived(Turn turn, EntryEvent.VmListReceived event) {
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
    Fleet fleet = turn.fleet().listed(event.version(), entries, members);
    turn.update(state -> state.withFleet(fleet));
    Leases.listReceived(turn, event.vms());
    connectSubset(turn);
  }

  /** Connects to the chosen subset of each pool and leaves idle endpoints outside of it. */
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
      } else if (member.connected() && member.work().inFlight() == 0) {
        turn.updateMember(member.endpoint(), known -> known.with(known.connection().to(Link.IDLE)));
        turn.emit(new EntryEffect.DisconnectAgent(member.endpoint()));
      }
    }
  }

  /**
   * The holder of the lease needs to see every endpoint before it orders repairs. Pools above the
   * bound get no repair, as connections to all of them would exceed the control budget of a node.
   */
  private static int subsetSize(Turn turn) {
    return turn.state().controller().lease().mine().isDefined()
        ? CONTROLLER_SUBSET
        : turn.state()
            .cluster()
            .map(ClusterConfiguration::routing)
            .map(routing -> routing.subsetSize())
            .getOrElse(DEFAULT_SUBSET);
  }

  static void connected(Turn turn, EntryEvent.AgentConnected event) {
    AgentIdentity identity = event.identity();
    EndpointId endpoint = identity.endpoint();
    Placement greeting =
        new Placement(identity.address(), identity.pool(), identity.dataCentre(), false, false);
    Member known =
        turn.fleet().member(endpoint).getOrElse(() -> Member.unconnected(endpoint, greeting));
    Option<Incarnation> before = known.connection().incarnation();
    Member member =
        known.opened(identity.incarnation(), event.status().capability(), turn.nowNanos());
    turn.update(state -> state.withFleet(state.fleet().with(member)));
    status(turn, endpoint, event.status());
    if (known.connection().failures() > 0) {
      turn.incident(
          IncidentKind.ENDPOINT_BACK,
          endpoint.value(),
          "connected after %d failures".formatted(known.connection().failures()));
    }
    if (before.contains(identity.incarnation())) {
      SessionFailures.endpointReconnected(turn, endpoint, identity.incarnation());
      AttemptFailures.endpointReconnected(turn, endpoint, identity.incarnation());
    } else {
      turn.update(
          state ->
              state.withFleet(state.fleet().withSpeeds(state.fleet().speeds().without(endpoint))));
      before.forEach(gone -> SessionFailures.endpointLost(turn, endpoint, gone));
      before.forEach(gone -> AttemptFailures.incarnationEnded(turn, endpoint, gone));
    }
  }

  /** Takes the status of an agent and reacts if the endpoint leaves or becomes available. */
  static void status(Turn turn, EndpointId endpoint, Message.Status status) {
    boolean tookWork = turn.fleet().member(endpoint).exists(Member::takesWork);
    boolean leaves =
        status.state() == ServingState.LEAVING
            && turn.fleet().member(endpoint).exists(member -> !member.leaving());
    turn.updateMember(
        endpoint,
        member ->
            member
                .with(
                    member
                        .serving()
                        .announced(
                            status.state(), status.capability(), status.load(), turn.nowNanos()))
                .with(
                    member
                        .work()
                        .limited(
                            member
                                .work()
                                .limit()
                                .withNominal(Member.nominalLimit(status.capability())))));
    if (leaves) {
      connectSubset(turn);
    }
    if (!tookWork && turn.fleet().member(endpoint).exists(Member::takesWork)) {
      SessionFailures.endpointAvailable(turn);
    }
  }

  /** Takes the notice that an endpoint leaves; it comes before the VM list shows it. */
  static void leaving(Turn turn, EndpointId endpoint) {
    if (turn.fleet().member(endpoint).exists(member -> !member.leaving())) {
      turn.updateMember(endpoint, member -> member.with(member.serving().leaving()));
      connectSubset(turn);
    }
  }

  private static EndpointId endpointId(VmEntry vm) {
    return new EndpointId(vm.vm().value());
  }

  /** Opens a connection unless there is one or one is on its way. */
  static void connectIfIdle(Turn turn, Member member) {
    if (member.connection().link() == Link.IDLE) {
      Connections.connect(turn, member);
    }
  }
}
