package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/** Simulation of one entry reducer with fake agents and a fake table in virtual time. */
final class World {
  final Map<EndpointId, FakeAgent> agents = new LinkedHashMap<>();
  final FakeTable table;
  final EntryInvariants invariants = new EntryInvariants(this);
  final List<EntryEffect> effects = new ArrayList<>();
  final Set<EndpointId> silent = new HashSet<>();
  final Set<List<EndpointId>> brokenLinks = new HashSet<>();
  Runnable beforeEvent = () -> {};
  EntryState state;
  long nowNanos = 1_000_000_000L;
  private final EntryReducer reducer = new EntryReducer();
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Map<EntryTimer, Long> timers = new HashMap<>();
  private final Map<EndpointId, Long> connections = new HashMap<>();
  private long sequence;
  private long listVersion;

  World(long seed) {
    this(seed, new FakeTable());
  }

  private World(long seed, FakeTable table) {
    this.table = table;
    state = EntryState.initial(new EntryNode(Fixtures.ENTRY, Fixtures.DATA_CENTRE), seed);
  }

  /** Returns a world with two replicas of each of two stages and two service endpoints. */
  static World small() {
    World world = new World(7);
    for (String name : List.of("a1", "a2")) {
      world.add(name, Fixtures.stageCapability(0, 4, 100));
    }
    for (String name : List.of("b1", "b2")) {
      world.add(name, Fixtures.stageCapability(4, Fixtures.LAYERS, 100));
    }
    for (String name : List.of("s1", "s2")) {
      world.add(name, Fixtures.creditCapability());
    }
    world.start();
    return world;
  }

  /** Returns two entries that share one table; each has service endpoints of its own. */
  static List<World> pairWithSharedTable() {
    World first = new World(7);
    World second = new World(8, first.table);
    List.of("s1", "s2").forEach(name -> first.add(name, Fixtures.creditCapability()));
    List.of("t1", "t2").forEach(name -> second.add(name, Fixtures.creditCapability()));
    first.start();
    second.start();
    return List.of(first, second);
  }

  /** Advances all worlds together in steps of one millisecond. */
  static void run(List<World> worlds, long millis) {
    for (long i = 0; i < millis; i++) {
      worlds.forEach(world -> world.run(1));
    }
  }

  FakeAgent add(String name, Capability capability) {
    FakeAgent agent = new FakeAgent(this, name, capability);
    agents.put(agent.endpoint, agent);
    return agent;
  }

  FakeAgent agent(String name) {
    return agents.get(new EndpointId(name));
  }

  void start() {
    reduce(new EntryEvent.ConfigurationAccepted(Fixtures.highLimitConfiguration()));
    publishVmList(agents.keySet(), Set.of());
    run(1_500);
  }

  void publishVmList(Set<EndpointId> listed, Set<EndpointId> leaving) {
    Vector<VmEntry> vms =
        Vector.ofAll(listed)
            .map(
                id ->
                    Fixtures.vm(
                        id.value(),
                        VmRole.ENDPOINT,
                        leaving.contains(id) ? VmState.LEAVING : VmState.LIVE))
            .append(Fixtures.vm("entry-1", VmRole.ENTRY, VmState.LIVE));
    reduce(new EntryEvent.VmListReceived(++listVersion, vms));
  }

  void reduce(EntryEvent event) {
    beforeEvent.run();
    invariants.beforeEvent(event);
    var step = reducer.reduce(state, nowNanos, event);
    state = step.state();
    for (EntryEffect effect : step.effects()) {
      effects.add(effect);
      invariants.checkEffect(effect);
      execute(effect);
    }
  }

  private void execute(EntryEffect effect) {
    if (effect instanceof EntryEffect.SendToAgent send) {
      send(send);
    } else if (effect instanceof EntryEffect.ConnectAgent connect) {
      schedule(1, () -> connect(connect.endpoint()));
    } else if (effect instanceof EntryEffect.DisconnectAgent disconnect) {
      connections.remove(disconnect.endpoint());
    } else if (effect instanceof EntryEffect.StartTimer start) {
      long due = nowNanos + start.delayNanos();
      long id = ++sequence;
      timers.put(start.timer(), id);
      queue.add(
          new Scheduled(
              due,
              id,
              () -> {
                if (timers.remove(start.timer(), id)) {
                  reduce(new EntryEvent.TimerFired(start.timer()));
                }
              }));
    } else if (effect instanceof EntryEffect.CancelTimer cancel) {
      timers.remove(cancel.timer());
    } else if (effect instanceof EntryEffect.ReleaseClaim release) {
      schedule(2, () -> releaseClaim(release));
    } else if (effect instanceof EntryEffect.ReadClaim read) {
      schedule(2, () -> readClaim(read));
    } else if (effect instanceof EntryEffect.ReadLease) {
      schedule(2, () -> answerLease(table.unavailable));
    } else if (effect instanceof EntryEffect.WriteLease write) {
      schedule(
          2,
          () -> {
            if (!table.unavailable && write.expectedVersion() == table.leaseVersion) {
              table.lease = Option.some(write.row());
              table.leaseVersion++;
            }
            answerLease(table.unavailable || table.losesResponses);
          });
    }
  }

  private void releaseClaim(EntryEffect.ReleaseClaim release) {
    if (table.unresponsive) {
      return;
    }
    var result =
        new EntryEvent.ClaimReleaseCompleted(
            release.request(), release.attempt(), table.release(release));
    schedule(2, () -> reduce(result));
  }

  private void readClaim(EntryEffect.ReadClaim read) {
    if (!table.unresponsive) {
      reduce(
          new EntryEvent.ClaimRead(
              read.request(),
              table.unavailable
                  ? new ClaimReadResult.Unavailable()
                  : new ClaimReadResult.Answered(Option.of(table.claims.get(read.key())))));
    }
  }

  private void answerLease(boolean lost) {
    reduce(
        lost
            ? new EntryEvent.LeaseUnavailable()
            : new EntryEvent.LeaseRead(table.lease, table.leaseVersion));
  }

  private void connect(EndpointId id) {
    FakeAgent agent = agents.get(id);
    if (agent == null || !agent.running) {
      reduce(new EntryEvent.AgentConnectFailed(id));
      return;
    }
    silent.remove(id);
    connections.put(id, ++sequence);
    reduce(
        new EntryEvent.AgentConnected(
            new AgentIdentity(
                id,
                agent.incarnation,
                Fixtures.DATA_CENTRE,
                new PoolId("pool"),
                Fixtures.address(id)),
            agent.status()));
  }

  private void send(EntryEffect.SendToAgent send) {
    FakeAgent agent = agents.get(send.endpoint());
    Long connection = connections.get(send.endpoint());
    if (connection == null || !agent.incarnation.equals(send.incarnation())) {
      return;
    }
    schedule(
        1,
        () -> {
          if (agent.running
              && agent.incarnation.equals(send.incarnation())
              && isConnectionAlive(agent.endpoint, connection)) {
            agent.receive(send.message());
          }
        });
  }

  private boolean isConnectionAlive(EndpointId id, long connection) {
    return !silent.contains(id) && Long.valueOf(connection).equals(connections.get(id));
  }

  void sendToEntry(FakeAgent agent, Message message) {
    Long connection = connections.get(agent.endpoint);
    Incarnation incarnation = agent.incarnation;
    if (connection == null) {
      return;
    }
    schedule(
        1,
        () -> {
          if (isConnectionAlive(agent.endpoint, connection)) {
            reduce(new EntryEvent.AgentMessageReceived(agent.endpoint, incarnation, message));
          }
        });
  }

  void sendToPeer(FakeAgent from, EndpointId to, Message.Activation message) {
    FakeAgent peer = agents.get(to);
    Incarnation incarnation = peer.incarnation;
    if (brokenLinks.contains(List.of(from.endpoint, to))) {
      FakeAgent.Stage stage = from.sessions.get(message.session());
      sendToEntry(
          from,
          new Message.StageFailed(
              message.session(),
              message.epoch(),
              stage.open.stageIndex() + 1,
              RefusalReason.PEER_UNREACHABLE));
      return;
    }
    schedule(
        1,
        () -> {
          if (peer.running && peer.incarnation.equals(incarnation)) {
            peer.receive(message);
          }
        });
  }

  /**
   * Returns the stage of a session at the agent with the given address, for the import of a KV
   * cache.
   */
  Option<FakeAgent.Stage> findStage(NodeAddress address, SessionId session) {
    return Vector.ofAll(agents.values())
        .find(agent -> agent.running && Fixtures.address(agent.endpoint).equals(address))
        .flatMap(agent -> Option.of(agent.sessions.get(session)));
  }

  /** Schedules an action of an agent, which is dropped if the agent stops or restarts before. */
  void scheduleForAgent(long millis, FakeAgent agent, Runnable action) {
    Incarnation incarnation = agent.incarnation;
    schedule(
        millis,
        () -> {
          if (agent.running && agent.incarnation.equals(incarnation)) {
            action.run();
          }
        });
  }

  void crash(String name) {
    FakeAgent agent = agent(name);
    if (agent.running) {
      agent.running = false;
      dropConnection(name, DisconnectReason.CLOSED);
    }
  }

  void restart(String name) {
    crash(name);
    agent(name).restart();
  }

  /** Ends the connection and loses the messages in transit on it. */
  void dropConnection(String name, DisconnectReason reason) {
    FakeAgent agent = agent(name);
    if (connections.remove(agent.endpoint) != null) {
      Incarnation incarnation = agent.incarnation;
      schedule(
          0, () -> reduce(new EntryEvent.AgentDisconnected(agent.endpoint, incarnation, reason)));
    }
  }

  /**
   * Loses all messages on the connection from now on; the connection ends after the timeout of the
   * probes.
   */
  void silence(String name) {
    if (silent.add(agent(name).endpoint)) {
      Long connection = connections.get(agent(name).endpoint);
      schedule(
          300,
          () -> {
            if (silent.contains(agent(name).endpoint)
                && connection != null
                && connection.equals(connections.get(agent(name).endpoint))) {
              dropConnection(name, DisconnectReason.SILENT);
            }
          });
    }
  }

  /** Announces that an endpoint leaves; a status from before the announcement arrives after it. */
  void leave(String name) {
    Message.Status before = agent(name).status();
    agent(name).state = ServingState.LEAVING;
    sendToEntry(agent(name), agent(name).status());
    sendToEntry(agent(name), before);
  }

  void schedule(long millis, Runnable action) {
    queue.add(new Scheduled(nowNanos + millis * Fixtures.NANOS_PER_MILLI, ++sequence, action));
  }

  void run(long millis) {
    long end = nowNanos + millis * Fixtures.NANOS_PER_MILLI;
    while (!queue.isEmpty() && queue.peek().dueNanos() <= end) {
      Scheduled next = queue.poll();
      nowNanos = Math.max(nowNanos, next.dueNanos());
      next.action().run();
    }
    nowNanos = Math.max(nowNanos, end);
  }

  long deadline(long millis) {
    return nowNanos + millis * Fixtures.NANOS_PER_MILLI;
  }

  <T extends EntryEffect> List<T> effects(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Returns the messages of one type that were sent to agents. */
  <M extends Message> List<EntryEffect.SendToAgent> sentMessages(
      Class<M> type, Predicate<M> wanted) {
    return effects(EntryEffect.SendToAgent.class).stream()
        .filter(send -> type.isInstance(send.message()) && wanted.test(type.cast(send.message())))
        .toList();
  }

  /** Returns the messages of one type that were sent to one endpoint. */
  <M extends Message> int countSentTo(String name, Class<M> type) {
    return (int)
        sentMessages(type, message -> true).stream()
            .filter(send -> send.endpoint().value().equals(name))
            .count();
  }

  long incidents(IncidentKind kind) {
    return effects(EntryEffect.RecordIncident.class).stream()
        .filter(effect -> effect.incident().kind() == kind)
        .count();
  }

  void call(String id, Idempotency idempotency, Option<String> key) {
    reduce(Fixtures.serviceRequest(id, idempotency, key, deadline(2_000)));
  }

  Problem problem(String request) {
    return effects(EntryEffect.ReplyProblem.class).stream()
        .filter(reply -> reply.request().equals(new RequestId(request)))
        .findFirst()
        .orElseThrow()
        .problem();
  }

  String answerText(String request) {
    StringBuilder text = new StringBuilder();
    effects(EntryEffect.ReplyToken.class).stream()
        .filter(token -> token.request().equals(new RequestId(request)))
        .forEach(token -> text.append(token.text()).append(' '));
    return text.toString();
  }

  private record Scheduled(long dueNanos, long sequence, Runnable action)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(dueNanos, other.dueNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
