package io.zinniawood.core.agent;

import static org.hamcrest.MatcherAssert.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Simulates one entry and three stages of three replicas each, with injected faults. */
final class StageChainSimulation {
  static final int STAGE_COUNT = 3;
  private static final String ENTRY = AgentDriver.ENTRY.nodeId();

  private final Random random;
  private final Map<String, AgentDriver> agents = new LinkedHashMap<>();
  private final Map<String, FakeEngine> engines = new HashMap<>();
  private final Map<String, Deque<Message>> links = new LinkedHashMap<>();
  private final Set<String> connected = new HashSet<>();
  private final List<Runnable> tasks = new ArrayList<>();
  private final Map<Payload, List<Payload>> exportedCaches = new HashMap<>();
  private final List<EntryModel> sessions = new ArrayList<>();
  private final Map<String, Integer> highestSent = new HashMap<>();
  private boolean failNextBatch;

  StageChainSimulation(Random random, int sessionCount) {
    this.random = random;
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
      for (int replica = 1; replica <= 3; replica++) {
        addAgent("e" + (stage + 1) + replica, stage);
      }
    }
    for (int i = 0; i < sessionCount; i++) {
      sessions.add(
          new EntryModel(
              "session-" + i,
              List.of("e11", "e21", "e31"),
              (to, message) -> enqueue(ENTRY, to, message),
              agents::containsKey));
    }
  }

  private void addAgent(String name, int stage) {
    AgentDriver agent = new AgentDriver(AgentDriver.properties(name, 1, 1 << 20));
    agents.put(name, agent);
    engines.put(name, new FakeEngine(stage, stage == STAGE_COUNT - 1));
    agent.apply(new AgentEvent.PeerConnected(AgentDriver.ENTRY, PeerRole.ENTRY));
    agent.apply(EntryModel.engineStatus(stage, 16));
  }

  List<EntryModel> sessions() {
    return sessions;
  }

  /** Runs random actions until all sessions end, with at most the given number of faults. */
  void run(int faults) {
    sessions.forEach(EntryModel::open);
    int faultsLeft = faults;
    for (int action = 0; action < 20_000; action++) {
      if (sessions.stream().allMatch(EntryModel::done)) {
        return;
      }
      if (faultsLeft > 0 && random.nextInt(25) == 0) {
        faultsLeft--;
        injectFault();
      }
      runRandomAction();
    }
    assertThat("sessions are still open after the last action", false);
  }

  private void runRandomAction() {
    List<String> busy =
        links.entrySet().stream()
            .filter(e -> !e.getValue().isEmpty())
            .map(Map.Entry::getKey)
            .toList();
    int choices = busy.size() + tasks.size();
    if (choices == 0) {
      advanceWhenIdle();
      return;
    }
    int choice = random.nextInt(choices);
    if (choice < busy.size()) {
      deliver(busy.get(choice));
    } else {
      tasks.remove(choice - busy.size()).run();
    }
  }

  private void advanceWhenIdle() {
    for (String name : List.copyOf(agents.keySet())) {
      handle(name, agents.get(name).advanceMillis(500));
    }
    for (EntryModel session : sessions) {
      Option<Integer> lost = session.lostStage();
      if (!session.done() && lost.isDefined()) {
        session.replaceStage(lost.get(), false);
      } else if (!session.done()) {
        session.onStall();
      }
    }
  }

  private void injectFault() {
    List<EntryModel> open = sessions.stream().filter(session -> !session.done()).toList();
    EntryModel session = open.get(random.nextInt(open.size()));
    switch (random.nextInt(6)) {
      case 0 -> cutConnection();
      case 1 -> session.replaceStage(random.nextInt(STAGE_COUNT), true);
      case 2 -> killAgent();
      case 3 -> session.onStall();
      case 4 -> failNextBatch = true;
      default -> session.replaceStage(random.nextInt(STAGE_COUNT), false);
    }
  }

  /** Removes the first replica of a stage, so that two replicas of each stage always remain. */
  private void killAgent() {
    String removedAgent = "e" + (random.nextInt(STAGE_COUNT) + 1) + "1";
    agents.remove(removedAgent);
    engines.remove(removedAgent);
    links.keySet().removeIf(link -> link.startsWith(removedAgent) || link.endsWith(removedAgent));
    for (String name : agents.keySet()) {
      boolean outbound = connected.remove(name + ">" + removedAgent);
      boolean inbound = connected.remove(removedAgent + ">" + name);
      if (outbound || inbound) {
        apply(name, new AgentEvent.PeerDisconnected(peer(removedAgent)));
      }
    }
  }

  private void cutConnection() {
    List<String> between = links.keySet().stream().filter(link -> !link.contains(ENTRY)).toList();
    if (between.isEmpty()) {
      return;
    }
    String[] ends = between.get(random.nextInt(between.size())).split(">", 2);
    for (String link : List.of(ends[0] + ">" + ends[1], ends[1] + ">" + ends[0])) {
      links.remove(link);
      connected.remove(link);
    }
    apply(ends[0], new AgentEvent.PeerDisconnected(peer(ends[1])));
    apply(ends[1], new AgentEvent.PeerDisconnected(peer(ends[0])));
  }

  private static PeerId peer(String name) {
    return name.equals(ENTRY) ? AgentDriver.ENTRY : new PeerId(name, AgentDriver.INCARNATION);
  }

  private void enqueue(String from, String to, Message message) {
    if (to.equals(ENTRY) || agents.containsKey(to)) {
      links.computeIfAbsent(from + ">" + to, link -> new ArrayDeque<>()).add(message);
    }
  }

  private void deliver(String link) {
    Message message = links.get(link).poll();
    checkNoGap(link, message);
    String[] ends = link.split(">", 2);
    if (ends[1].equals(ENTRY)) {
      sessions.forEach(session -> session.onMessage(message));
    } else {
      apply(ends[1], new AgentEvent.MessageReceived(peer(ends[0]), message));
    }
  }

  /** Checks that a link carries each position of an epoch only after the position before it. */
  private void checkNoGap(String link, Message message) {
    if (message instanceof Message.Activation a) {
      checkNoGap(link + a.session() + a.epoch(), a.position());
    } else if (message instanceof Message.Token t) {
      checkNoGap(link + t.session() + t.epoch(), t.position());
    }
  }

  private void checkNoGap(String stream, int position) {
    Integer highest = highestSent.get(stream);
    assertThat("no gap on " + stream, highest == null || position <= highest + 1);
    highestSent.merge(stream, position, Math::max);
  }

  private void apply(String name, AgentEvent event) {
    if (agents.containsKey(name)) {
      handle(name, agents.get(name).apply(event));
    }
  }

  private void handle(String name, Vector<AgentEffect> effects) {
    effects.forEach(effect -> handle(name, effect));
  }

  private void handle(String name, AgentEffect effect) {
    if (effect instanceof AgentEffect.Send send) {
      enqueue(name, send.peer().nodeId(), send.message());
    } else if (effect instanceof AgentEffect.SendToStage send) {
      toAddress(name, send.stage().address(), send.message());
    } else if (effect instanceof AgentEffect.SendToAddress send) {
      toAddress(name, send.address(), send.message());
    } else if (effect instanceof AgentEffect.RunSteps run) {
      onEngine(name, engine -> new AgentEvent.StepsCompleted(run(engine, run.steps())));
    } else if (effect instanceof AgentEffect.CloseEngineSession close) {
      engines.get(name).close(close.session());
    } else if (effect instanceof AgentEffect.ExportCache export) {
      onEngine(name, engine -> export(engine, export.session()));
    } else if (effect instanceof AgentEffect.ImportCache load) {
      onEngine(
          name,
          engine -> {
            engine.importCache(load.session(), exportedCaches.get(load.cache()));
            return new AgentEvent.CacheImported(
                load.session(), load.epoch(), StoreWriteResult.DONE);
          });
    }
  }

  private Vector<StageResult> run(FakeEngine engine, Vector<StageStep> steps) {
    if (!failNextBatch) {
      return engine.run(steps);
    }
    failNextBatch = false;
    return steps.map(
        step -> new StageResult.Failed(step.session(), step.position(), "engine restarted"));
  }

  private AgentEvent export(FakeEngine engine, SessionId session) {
    List<Payload> cache = engine.exportCache(session);
    Payload handle = Payload.ofText("cache-" + exportedCaches.size());
    exportedCaches.put(handle, cache);
    return new AgentEvent.CacheExported(session, Option.some(handle), cache.size());
  }

  private void onEngine(String name, java.util.function.Function<FakeEngine, AgentEvent> call) {
    tasks.add(
        () -> {
          if (engines.containsKey(name)) {
            apply(name, call.apply(engines.get(name)));
          }
        });
  }

  private void toAddress(String from, NodeAddress address, Message message) {
    Option<String> to =
        Vector.ofAll(agents.keySet()).find(name -> AgentDriver.address(name).equals(address));
    if (to.isEmpty()) {
      tasks.add(() -> apply(from, new AgentEvent.PeerConnectFailed(address)));
      return;
    }
    enqueue(from, to.get(), message);
    if (connected.add(from + ">" + to.get())) {
      apply(from, new AgentEvent.PeerConnected(peer(to.get()), PeerRole.AGENT));
      apply(to.get(), new AgentEvent.PeerConnected(peer(from), PeerRole.AGENT));
    }
  }
}
