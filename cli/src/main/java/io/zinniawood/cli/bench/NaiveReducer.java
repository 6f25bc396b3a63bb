package io.zinniawood.cli.bench;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;
import java.util.ArrayList;
import java.util.List;

/**
 * Naive routing policy as the baseline of the scenarios: round robin over all endpoints of a layer
 * range, without admission limits or endpoint subsets. Any failure restarts the whole request on a
 * new chain. Supports model requests only.
 */
public final class NaiveReducer implements Reducer<NaiveState, EntryEvent, EntryEffect> {
  private static final Epoch EPOCH = new Epoch(1);
  private static final int MAX_ATTEMPTS = 10;
  private static final int DEFAULT_WEIGHT = 1;

  /** Returns an empty state. */
  static NaiveState initialState() {
    return new NaiveState();
  }

  @Override
  public Step<NaiveState, EntryEffect> reduce(NaiveState state, long nowNanos, EntryEvent event) {
    List<EntryEffect> effects = new ArrayList<>();
    if (event instanceof EntryEvent.ModelRequestArrived arrival) {
      startAttempt(state, new NaiveState.Chat(arrival), effects);
    } else if (event instanceof EntryEvent.AgentMessageReceived received) {
      onMessage(state, received, effects);
    } else if (event instanceof EntryEvent.AgentConnected connected) {
      if (connected.status().capability() instanceof Capability.ModelStage stage) {
        state.agents.put(
            connected.identity().endpoint(), new NaiveState.Agent(connected.identity(), stage));
      }
    } else if (event instanceof EntryEvent.AgentDisconnected disconnected) {
      state.agents.remove(disconnected.endpoint());
      reconnect(state, disconnected.endpoint(), effects);
      for (SessionId session : List.copyOf(state.chatsBySession.keySet())) {
        if (state
            .chatsBySession
            .get(session)
            .uses(disconnected.endpoint(), disconnected.incarnation())) {
          retry(state, session, effects);
        }
      }
    } else if (event instanceof EntryEvent.AgentConnectFailed failed) {
      reconnect(state, failed.endpoint(), effects);
    } else if (event instanceof EntryEvent.VmListReceived list) {
      list.vms().forEach(vm -> registerVm(state, vm, effects));
    } else if (event instanceof EntryEvent.ConfigurationAccepted) {
      effects.add(new EntryEffect.SetReadiness(Readiness.READY));
    } else if (event instanceof EntryEvent.DrainRequested) {
      effects.add(new EntryEffect.StopProcess());
    }
    return new Step<>(state, Vector.ofAll(effects));
  }

  private static void registerVm(NaiveState state, VmEntry vm, List<EntryEffect> effects) {
    EndpointId endpoint = new EndpointId(vm.vm().value());
    if (vm.role() == VmRole.ENDPOINT && state.endpointVms.put(endpoint, vm) == null) {
      effects.add(new EntryEffect.ConnectAgent(endpoint, vm.address()));
    }
  }

  private static void reconnect(NaiveState state, EndpointId endpoint, List<EntryEffect> effects) {
    VmEntry vm = state.endpointVms.get(endpoint);
    if (vm != null) {
      effects.add(new EntryEffect.ConnectAgent(endpoint, vm.address()));
    }
  }

  private static void startAttempt(
      NaiveState state, NaiveState.Chat chat, List<EntryEffect> effects) {
    chat.attempts++;
    chat.openedStages = 0;
    chat.nextPosition = 0;
    chat.chain = selectChain(state, chat);
    if (chat.chain.isEmpty() || chat.attempts > MAX_ATTEMPTS) {
      effects.add(
          new EntryEffect.ReplyProblem(
              chat.request(),
              Problem.unknown(
                  ProblemType.NO_ENDPOINT,
                  "no endpoint serves layer 0 of the model, or all %d attempts failed"
                      .formatted(MAX_ATTEMPTS))));
      return;
    }
    state.startedSessions++;
    SessionId session = new SessionId("naive-" + chat.request() + "-" + state.startedSessions);
    state.chatsBySession.put(session, chat);
    for (int index = 0; index < chat.chain.size(); index++) {
      send(chat.chain.get(index), openSession(chat, session, index), effects);
    }
  }

  private static List<StageAddress> selectChain(NaiveState state, NaiveState.Chat chat) {
    List<StageAddress> chain = new ArrayList<>();
    int layer = 0;
    while (true) {
      int from = layer;
      List<NaiveState.Agent> candidates =
          state.agents.values().stream()
              .filter(agent -> agent.stage().model().equals(chat.arrival.model()))
              .filter(agent -> agent.stage().layers().fromLayer() == from)
              .toList();
      if (candidates.isEmpty()) {
        return chain;
      }
      int counter = state.roundRobinCounters.merge(from, 1, Integer::sum);
      NaiveState.Agent agent = candidates.get(Math.floorMod(counter, candidates.size()));
      chain.add(
          new StageAddress(
              agent.identity().endpoint(),
              agent.identity().incarnation(),
              agent.identity().address(),
              agent.stage().layers()));
      layer = agent.stage().layers().toLayerExclusive();
    }
  }

  private static Message openSession(NaiveState.Chat chat, SessionId session, int index) {
    EntryEvent.ModelRequestArrived arrival = chat.arrival;
    return new Message.OpenSession(
        session,
        EPOCH,
        chat.chain.get(index).incarnation(),
        chat.clientAccount(),
        arrival.model(),
        Vector.ofAll(chat.chain),
        index,
        arrival.maxTokens(),
        arrival.priority(),
        Long.MAX_VALUE / 2_000_000,
        DEFAULT_WEIGHT,
        0,
        Option.none());
  }

  private static void onMessage(
      NaiveState state, EntryEvent.AgentMessageReceived received, List<EntryEffect> effects) {
    if (received.message() instanceof Message.SessionOpened opened) {
      NaiveState.Chat chat = state.chatsBySession.get(opened.session());
      if (chat != null) {
        chat.openedStages++;
        if (chat.openedStages == chat.chain.size()) {
          sendStepInput(chat, opened.session(), chat.arrival.prompt(), effects);
        }
      }
    } else if (received.message() instanceof Message.Token token) {
      onToken(state, token, effects);
    } else if (received.message() instanceof Message.SessionRefused refused) {
      retry(state, refused.session(), effects);
    } else if (received.message() instanceof Message.StageFailed failed) {
      retry(state, failed.session(), effects);
    }
  }

  private static void onToken(NaiveState state, Message.Token token, List<EntryEffect> effects) {
    NaiveState.Chat chat = state.chatsBySession.get(token.session());
    if (chat == null || token.position() != chat.nextPosition) {
      return;
    }
    chat.nextPosition++;
    // The model is deterministic, so a retry generates the same tokens; those that the caller has
    // already received are not sent again.
    if (chat.nextPosition > chat.deliveredTokens) {
      chat.deliveredTokens = chat.nextPosition;
      effects.add(new EntryEffect.ReplyToken(chat.request(), token.text()));
    }
    if (token.finish().isDefined()) {
      effects.add(
          new EntryEffect.FinishAnswer(chat.request(), token.finish().get(), chat.deliveredTokens));
      closeSession(state, token.session(), effects);
    } else {
      sendStepInput(chat, token.session(), Payload.ofText(token.text()), effects);
    }
  }

  private static void sendStepInput(
      NaiveState.Chat chat, SessionId session, Payload input, List<EntryEffect> effects) {
    send(
        chat.chain.get(0),
        new Message.StepInput(session, EPOCH, chat.nextPosition, input),
        effects);
  }

  private static void retry(NaiveState state, SessionId session, List<EntryEffect> effects) {
    NaiveState.Chat chat = state.chatsBySession.get(session);
    if (chat != null) {
      closeSession(state, session, effects);
      startAttempt(state, chat, effects);
    }
  }

  private static void closeSession(NaiveState state, SessionId session, List<EntryEffect> effects) {
    NaiveState.Chat chat = state.chatsBySession.remove(session);
    for (StageAddress stage : chat.chain) {
      send(stage, new Message.CloseSession(session), effects);
    }
  }

  private static void send(StageAddress stage, Message message, List<EntryEffect> effects) {
    effects.add(new EntryEffect.SendToAgent(stage.endpoint(), stage.incarnation(), message));
  }
}
