package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.entry.membership.Link;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.membership.Placement;
import io.zinniawood.core.entry.membership.SubsetSelection;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;

/** Keeps the view of endpoints up to date and decides which agents the entry connects to. */
final class Membership {
  private static final long RECONNECT_NANOS = 200_000_000;

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
                        : member.withPlacement(member.placement().unlisted()));
    for (VmEntry vm : endpoints) {
      EndpointId id = endpointId(vm);
      Placement placement =
          new Placement(
              vm.address(), vm.pool(), vm.dataCentre(), true, vm.state() == VmState.LEAVING);
      Member member =
          members
              .get(id)
              .map(known -> known.withPlacement(placement))
              .getOrElse(() -> Member.unconnected(id, placement));
      members = members.put(id, member);
    }
    Fleet fleet = new Fleet(event.version(), Math.max(1, entries), members);
    turn.update(state -> state.withFleet(fleet));
    connectSubset(turn);
  }

  /** Connects to the chosen subset of each pool and leaves idle endpoints outside of it. */
  static void connectSubset(Turn turn) {
    int subsetSize =
        turn.state()
            .cluster()
            .map(ClusterConfiguration::routing)
            .map(routing -> routing.subsetSize())
            .getOrElse(16);
    Vector<Member> candidates =
        turn.fleet()
            .members()
            .values()
            .filter(member -> member.placement().listed() && !member.leaving())
            .toVector();
    Set<EndpointId> chosen =
        SubsetSelection.choose(turn.state().self().vm(), candidates, subsetSize);
    for (Member member : turn.fleet().members().values()) {
      if (chosen.contains(member.endpoint()) && member.link() == Link.IDLE) {
        connect(turn, member);
      }
    }
  }

  static void connected(Turn turn, EntryEvent.AgentConnected event) {
    AgentIdentity identity = event.identity();
    Placement greeting =
        new Placement(identity.address(), identity.pool(), identity.dataCentre(), false, false);
    Member known =
        turn.fleet()
            .member(identity.endpoint())
            .getOrElse(() -> Member.unconnected(identity.endpoint(), greeting));
    Member member = known.connected(identity.incarnation(), ceiling(event.status().capability()));
    turn.update(state -> state.withFleet(state.fleet().with(member)));
    status(turn, member.endpoint(), event.status());
  }

  static void status(Turn turn, EndpointId endpoint, Message.Status status) {
    turn.updateMember(
        endpoint,
        member ->
            member.withStatus(status.state(), status.capability(), status.load(), turn.nowNanos()));
  }

  static void disconnected(Turn turn, EntryEvent.AgentDisconnected event) {
    if (!turn.fleet().connectedAs(event.endpoint(), event.incarnation())) {
      return;
    }
    turn.fleet().member(event.endpoint()).forEach(member -> connect(turn, member));
  }

  static void connectFailed(Turn turn, EndpointId endpoint) {
    turn.updateMember(
        endpoint, member -> member.withLink(Link.WAITING, member.connectFailures() + 1));
    turn.startTimer(new EntryTimer.ReconnectDelay(endpoint), RECONNECT_NANOS);
  }

  static void reconnect(Turn turn, EndpointId endpoint) {
    turn.fleet()
        .member(endpoint)
        .filter(member -> member.link() == Link.WAITING)
        .forEach(member -> connect(turn, member));
  }

  private static void connect(Turn turn, Member member) {
    turn.updateMember(
        member.endpoint(), known -> known.withLink(Link.CONNECTING, known.connectFailures()));
    turn.emit(new EntryEffect.ConnectAgent(member.endpoint(), member.placement().address()));
  }

  private static int ceiling(Capability capability) {
    if (capability instanceof Capability.ModelStage stage) {
      return stage.maxSessions();
    }
    return ((Capability.PlainService) capability).maxConcurrent();
  }

  private static EndpointId endpointId(VmEntry vm) {
    return new EndpointId(vm.vm().value());
  }
}
