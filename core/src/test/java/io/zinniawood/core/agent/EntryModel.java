package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.StageAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Model of an entry that runs one session over a chain of stages, with recovery (section 3.4 of
 * docs/design.md).
 */
final class EntryModel {
  static final ModelId MODEL = new ModelId("kiosk");

  static final int TOKEN_COUNT = 8;

  private final SessionId id;
  private final BiConsumer<String, Message> send;
  private final Predicate<String> alive;
  private final List<String> tokens = new ArrayList<>();
  private final Map<Integer, Integer> nextPositionByStage = new HashMap<>();
  private List<String> chain;
  private Option<Integer> importingStage = Option.none();
  private Option<NodeAddress> importFrom = Option.none();
  private long epoch = 1;
  private int stallCount;

  EntryModel(
      String id, List<String> chain, BiConsumer<String, Message> send, Predicate<String> alive) {
    this.id = new SessionId(id);
    this.chain = chain;
    this.send = send;
    this.alive = alive;
  }

  static LayerRange layers(int stage) {
    return new LayerRange(stage * 4, stage * 4 + 4);
  }

  List<String> tokens() {
    return tokens;
  }

  boolean done() {
    return tokens.size() == TOKEN_COUNT;
  }

  Payload input(int position) {
    return Payload.ofText(position == 0 ? "prompt of " + id : tokens.get(position - 1));
  }

  void open() {
    for (int stage = 0; stage < chain.size(); stage++) {
      Option<NodeAddress> from = importingStage.contains(stage) ? importFrom : Option.none();
      send.accept(
          chain.get(stage), openSession(id, epoch, chain, stage, MODEL, tokens.size(), from));
    }
  }

  static Message.OpenSession openSession(
      SessionId session,
      long epoch,
      List<String> chain,
      int stageIndex,
      ModelId model,
      int rebuild,
      Option<NodeAddress> importFrom) {
    Vector<StageAddress> addresses =
        Vector.ofAll(chain)
            .zipWithIndex(
                (name, stage) ->
                    new StageAddress(
                        new EndpointId(name),
                        AgentDriver.INCARNATION,
                        AgentDriver.address(name),
                        layers(stage)));
    return new Message.OpenSession(
        session,
        new Epoch(epoch),
        AgentDriver.INCARNATION,
        new ClientAccountId("kiosk"),
        model,
        addresses,
        stageIndex,
        10,
        Priority.NORMAL,
        60_000,
        1,
        rebuild,
        importFrom);
  }

  static AgentEvent engineStatus(int stage, int maxSessions) {
    return new AgentEvent.EngineStatusRead(
        new Capability.ModelStage(MODEL, layers(stage), new AcceleratorKind("a"), 100, maxSessions),
        LoadReport.idle(maxSessions));
  }

  private void step(int position) {
    send.accept(
        chain.get(0), new Message.StepInput(id, new Epoch(epoch), position, input(position)));
  }

  void onMessage(Message message) {
    if (message instanceof Message.SessionOpened open && isCurrent(open.session(), open.epoch())) {
      boolean complete = nextPositionByStage.size() == chain.size();
      nextPositionByStage.put(open.stageIndex(), open.nextPosition());
      if (!complete && nextPositionByStage.size() == chain.size()) {
        resume();
      }
    } else if (message instanceof Message.SessionRefused refused
        && isCurrent(refused.session(), refused.epoch())) {
      replaceStage(refused.stageIndex(), false);
    } else if (message instanceof Message.StageFailed failed
        && isCurrent(failed.session(), failed.epoch())) {
      replaceStage(failed.stageIndex(), false);
    } else if (message instanceof Message.Token token
        && isCurrent(token.session(), token.epoch())
        && token.position() == tokens.size()) {
      onToken(token.text());
    }
  }

  private boolean isCurrent(SessionId session, Epoch at) {
    return session.equals(id) && at.value() == epoch && !done();
  }

  private void onToken(String text) {
    tokens.add(text);
    stallCount = 0;
    if (done()) {
      chain.forEach(endpoint -> send.accept(endpoint, new Message.CloseSession(id)));
    } else {
      step(tokens.size());
    }
  }

  /** Has missing positions sent again after all stages opened the epoch, then continues. */
  private void resume() {
    int position = tokens.size();
    for (int stage = 0; stage < chain.size(); stage++) {
      int next = nextPositionByStage.get(stage);
      if (next < position && stage == 0) {
        for (int missing = next; missing < position; missing++) {
          step(missing);
        }
      } else if (next < position) {
        send.accept(chain.get(stage - 1), new Message.Replay(id, new Epoch(epoch), next, position));
      }
    }
    step(position);
  }

  void replaceStage(int stage, boolean withImport) {
    String old = chain.get(stage);
    List<String> next = new ArrayList<>(chain);
    String replacement = old;
    do {
      int replica = (replacement.charAt(2) - '0') % 3 + 1;
      replacement = "e" + (stage + 1) + replica;
    } while (!alive.test(replacement));
    next.set(stage, replacement);
    importingStage = Option.some(stage);
    importFrom =
        withImport && alive.test(old) ? Option.some(AgentDriver.address(old)) : Option.none();
    openNewEpoch(next);
  }

  private void openNewEpoch(List<String> next) {
    epoch++;
    nextPositionByStage.clear();
    chain = next;
    open();
  }

  /** Handles a stall: resends the open or step messages; every third time, opens a new epoch. */
  void onStall() {
    stallCount++;
    if (stallCount % 3 == 0) {
      importingStage = Option.none();
      openNewEpoch(chain);
    } else if (nextPositionByStage.size() < chain.size()) {
      open();
    } else {
      step(tokens.size());
    }
  }

  Option<Integer> lostStage() {
    return Vector.range(0, chain.size()).find(stage -> !alive.test(chain.get(stage)));
  }
}
