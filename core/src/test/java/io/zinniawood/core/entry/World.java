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

/** One entry reducer with fake agents and a fake table in virtual time. */
final class World {
  final Map<EndpointId, FakeAgent> agents = new LinkedHashMap<>();
  final FakeTable table;
  final Checks checks = new Checks(this);
  final List<EntryEffect> effects = new ArrayList<>();
  final Set<EndpointId> silent = new HashSet<>();
  final Set<List<EndpointId>> brokenLinks = new HashSet<>();
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
    state = EntryState.initial(new EntryNode(Fixtures.ENTRY, Fixtures.HERE), seed);
  }

  /** Returns a world with two replicas of each of two stages and two service endpoints. */
  static World small() {
    World world = new World(7);
    for (String name : List.of("a1", "a2")) {
      world.add(name, Fixtures.stage(0, 4, 100));
    }
    for (String name : List.of("b1", "b2")) {
      world.add(name, Fixtures.stage(4, Fixtures.LAYERS, 100));
    }
    for (String name : List.of("s1", "s2")) {
      world.add(name, Fixtures.credit());
    }
    world.start();
    return world;
  }

  /** Returns two entries with one table, each with service endpoints of its own. */
  static List<World> pair() {
    World first = new World(7);
    World second = new World(8, first.table);
    List.of("s1", "s2").forEach(name -> first.add(name, Fixtures.credit()));
    List.of("t1", "t2").forEach(name -> second.add(name, Fixtures.credit()));
    first.start();
    second.start();
    return List.of(first, second);
  }

  /** Runs worlds in step. */
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
    reduce(new EntryEvent.ConfigurationAccepted(Fixtures.generous()));
    list(agents.keySet(), Set.of());
    run(1_500);
  }

  void list(Set<EndpointId> listed, Set<EndpointId> leaving) {
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
    checks.before(event);
    var step = reducer.reduce(state, nowNanos, event);
    state = step.state();
    for (EntryEffect effect : step.effects()) {
      effects.add(effect);
      checks.effect(effect);
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
      schedule(2, () -> release(release));
    } else if (effect instanceof EntryEffect.ReadClaim read) {
      schedule(2, () -> readClaim(read));
    } else if (effect instanceof EntryEffect.ReadLease) {
      schedule(2, () -> leaseAnswer(table.down));
    } else if (effect instanceof EntryEffect.WriteLease write) {
      schedule(
          2,
          () -> {
            if (!table.down && write.expectedVersion() == table.leaseVersion) {
              table.lease = Option.some(write.row());
              table.leaseVersion++;
            }
            leaseAnswer(table.down || table.losesResponses);
          });
    }
  }

  private void release(EntryEffect.ReleaseClaim release) {
    if (table.silent) {
      return;
    }
    var result =
        new EntryEvent.ClaimResolved(release.request(), release.attempt(), table.release(release));
    schedule(2, () -> reduce(result));
  }

  private void readClaim(EntryEffect.ReadClaim read) {
    if (!table.silent) {
      reduce(
          new EntryEvent.ClaimRead(
              read.request(),
              table.down
                  ? new ClaimReadResult.Unavailable()
                  : new ClaimReadResult.Answered(Option.of(table.claims.get(read.key())))));
    }
  }

  private void leaseAnswer(boolean lost) {
    reduce(
        lost
            ? new EntryEvent.LeaseUnavailable()
            : new EntryEvent.LeaseRead(table.lease, table.leaseVersion));
  }

  private void connect(EndpointId id) {
    FakeAgent agent = agents.get(id);
    if (agent == null || !agent.up) {
      reduce(new EntryEvent.AgentConnectFailed(id));
      return;
    }
    silent.remove(id);
    connections.put(id, ++sequence);
    reduce(
        new EntryEvent.AgentConnected(
            new AgentIdentity(
                id, agent.incarnation, Fixtures.HERE, new PoolId("pool"), Fixtures.address(id)),
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
          if (agent.up
              && agent.incarnation.equals(send.incarnation())
              && alive(agent.endpoint, connection)) {
            agent.receive(send.message());
          }
        });
  }

  private boolean alive(EndpointId id, long connection) {
    return !silent.contains(id) && Long.valueOf(connection).equals(connections.get(id));
  }

  void toEntry(FakeAgent agent, Message message) {
    Long connection = connections.get(agent.endpoint);
    Incarnation incarnation = agent.incarnation;
    if (connection == null) {
      return;
    }
    schedule(
        1,
        () -> {
          if (alive(agent.endpoint, connection)) {
            reduce(new EntryEvent.AgentMessageReceived(agent.endpoint, incarnation, message));
          }
        });
  }

  void toPeer(FakeAgent from, EndpointId to, Message.Activation message) {
    FakeAgent peer = agents.get(to);
    Incarnation incarnation = peer.incarnation;
    if (brokenLinks.contains(List.of(from.endpoint, to))) {
      FakeAgent.Stage stage = from.sessions.get(message.session());
      toEntry(
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
          if (peer.up && peer.incarnation.equals(incarnation)) {
            peer.receive(message);
          }
        });
  }

  /** Returns what an agent holds of a session, for the import of a KV cache. */
  Option<FakeAgent.Stage> stageAt(NodeAddress address, SessionId session) {
    return Vector.ofAll(agents.values())
        .find(agent -> agent.up && Fixtures.address(agent.endpoint).equals(address))
        .flatMap(agent -> Option.of(agent.sessions.get(session)));
  }

  /** Runs an action of an agent later, unless the agent restarts before. */
  void after(long millis, FakeAgent agent, Runnable action) {
    Incarnation incarnation = agent.incarnation;
    schedule(
        millis,
        () -> {
          if (agent.up && agent.incarnation.equals(incarnation)) {
            action.run();
          }
        });
  }

  void crash(String name) {
    FakeAgent agent = agent(name);
    if (agent.up) {
      agent.up = false;
      dropConnection(name, DisconnectReason.CLOSED);
    }
  }

  void restart(String name) {
    crash(name);
    agent(name).restart();
  }

  /** Ends the connection; messages on it are lost. */
  void dropConnection(String name, DisconnectReason reason) {
    FakeAgent agent = agent(name);
    if (connections.remove(agent.endpoint) != null) {
      Incarnation incarnation = agent.incarnation;
      schedule(
          0, () -> reduce(new EntryEvent.AgentDisconnected(agent.endpoint, incarnation, reason)));
    }
  }

  /** Loses all messages of the connection; the probes notice it after their timeout. */
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

  /** Announces that an endpoint leaves; a status from before arrives late. */
  void leave(String name) {
    Message.Status before = agent(name).status();
    agent(name).state = ServingState.LEAVING;
    toEntry(agent(name), agent(name).status());
    toEntry(agent(name), before);
  }

  void schedule(long millis, Runnable action) {
    queue.add(new Scheduled(nowNanos + millis * Fixtures.MILLI, ++sequence, action));
  }

  void run(long millis) {
    long end = nowNanos + millis * Fixtures.MILLI;
    while (!queue.isEmpty() && queue.peek().dueNanos() <= end) {
      Scheduled next = queue.poll();
      nowNanos = Math.max(nowNanos, next.dueNanos());
      next.action().run();
    }
    nowNanos = Math.max(nowNanos, end);
  }

  long deadline(long millis) {
    return nowNanos + millis * Fixtures.MILLI;
  }

  <T extends EntryEffect> List<T> effects(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Returns the messages of one type that were sent to agents. */
  <M extends Message> List<EntryEffect.SendToAgent> sent(Class<M> type, Predicate<M> wanted) {
    return effects(EntryEffect.SendToAgent.class).stream()
        .filter(send -> type.isInstance(send.message()) && wanted.test(type.cast(send.message())))
        .toList();
  }

  /** Returns the messages of one type that were sent to one endpoint. */
  <M extends Message> int sentTo(String name, Class<M> type) {
    return (int)
        sent(type, message -> true).stream()
            .filter(send -> send.endpoint().value().equals(name))
            .count();
  }

  long incidents(IncidentKind kind) {
    return effects(EntryEffect.RecordIncident.class).stream()
        .filter(effect -> effect.incident().kind() == kind)
        .count();
  }

  void call(String id, Idempotency idempotency, Option<String> key) {
    reduce(Fixtures.call(id, idempotency, key, deadline(2_000)));
  }

  Problem problem(String request) {
    return effects(EntryEffect.ReplyProblem.class).stream()
        .filter(reply -> reply.request().equals(new RequestId(request)))
        .findFirst()
        .orElseThrow()
        .problem();
  }

  String text(String request) {
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
