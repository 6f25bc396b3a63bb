package io.zinniawood.core.agent;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.runtime.Step;

/** Runs one agent reducer with its timers in virtual time. */
final class AgentDriver {
  static final ServiceName SERVICE = new ServiceName("credit");
  static final Incarnation INCARNATION = new Incarnation(7);
  static final PeerId ENTRY = new PeerId("entry-1", new Incarnation(1));
  static final ServiceAnswer ANSWER =
      new ServiceAnswer(201, Vector.empty(), Payload.ofText("booked"));

  private final AgentReducer reducer = new AgentReducer();
  private AgentState state;
  private long nowNanos = 1_000_000_000;
  private Map<AgentTimer, Long> timers = HashMap.empty();

  AgentDriver(AgentProperties properties) {
    state = AgentState.initial(properties, 42);
  }

  static AgentProperties properties(String endpoint, int maxConcurrent, long keptOutputBytes) {
    return new AgentProperties(
        new EndpointId(endpoint),
        INCARNATION,
        new DataCentreId("helsinki-a"),
        new PoolId("pool"),
        address(endpoint),
        maxConcurrent,
        keptOutputBytes);
  }

  static NodeAddress address(String endpoint) {
    return new NodeAddress("127.0.0." + endpoint.replaceAll("\\D", ""), 7000);
  }

  static AgentDriver serviceAgent(int maxConcurrent) {
    AgentDriver driver = new AgentDriver(properties("e1", maxConcurrent, 0));
    driver.apply(new AgentEvent.PeerConnected(ENTRY, PeerRole.ENTRY));
    driver.apply(
        new AgentEvent.EngineStatusRead(
            new Capability.PlainService(SERVICE, maxConcurrent), LoadReport.idle(maxConcurrent)));
    return driver;
  }

  /** Removes the state of the calls, so that decisions fail. */
  void spoil() {
    state = state.withCalls(null);
  }

  AgentState state() {
    return state;
  }

  Vector<AgentEffect> apply(AgentEvent event) {
    Step<AgentState, AgentEffect> step = reducer.reduce(state, nowNanos, event);
    state = step.state();
    for (AgentEffect effect : step.effects()) {
      if (effect instanceof AgentEffect.StartTimer start) {
        timers = timers.put(start.timer(), nowNanos + start.delayNanos());
      } else if (effect instanceof AgentEffect.CancelTimer cancel) {
        timers = timers.remove(cancel.timer());
      }
    }
    return step.effects();
  }

  Vector<AgentEffect> receive(Message message) {
    return receive(ENTRY, message);
  }

  Vector<AgentEffect> receive(PeerId peer, Message message) {
    return apply(new AgentEvent.MessageReceived(peer, message));
  }

  /** Advances the virtual time and fires the expired timers in order. */
  Vector<AgentEffect> advanceMillis(long millis) {
    long endNanos = nowNanos + millis * 1_000_000;
    Vector<AgentEffect> effects = Vector.empty();
    while (true) {
      var due = timers.filterValues(at -> at <= endNanos).minBy(timer -> timer._2);
      if (due.isEmpty()) {
        nowNanos = endNanos;
        return effects;
      }
      nowNanos = due.get()._2;
      timers = timers.remove(due.get()._1);
      effects = effects.appendAll(apply(new AgentEvent.TimerFired(due.get()._1)));
    }
  }

  static Message.Dispatch dispatch(String attempt) {
    return dispatch(attempt, "kiosk", 10_000);
  }

  static Message.Dispatch dispatch(String attempt, String account, long remainingMillis) {
    return dispatch(attempt, INCARNATION, account, Option.none(), 0, "none", remainingMillis);
  }

  static Message.Dispatch keyed(String attempt, String key, long fence) {
    return keyed(attempt, key, fence, key);
  }

  static Message.Dispatch keyed(String attempt, String key, long fence, String body) {
    Option<IdempotencyKey> some = Option.some(new IdempotencyKey(key));
    return dispatch(attempt, INCARNATION, "kiosk", some, fence, body, 10_000);
  }

  static Message.Dispatch dispatch(
      String attempt,
      Incarnation incarnation,
      String account,
      Option<IdempotencyKey> key,
      long fence,
      String body,
      long remainingMillis) {
    return new Message.Dispatch(
        new RequestId("request-" + attempt),
        new AttemptId(attempt),
        incarnation,
        new ClientAccountId(account),
        SERVICE,
        new ServiceCall("POST", "/credits", Vector.empty(), Payload.ofText(body)),
        Idempotency.NON_IDEMPOTENT,
        key,
        new Fence(fence),
        remainingMillis,
        1);
  }

  static Message.CancelDispatch cancel(String attempt) {
    return new Message.CancelDispatch(new RequestId("request-" + attempt), new AttemptId(attempt));
  }

  /** Returns the messages of a type that the effects send. */
  static <M extends Message> Vector<M> sentMessages(Vector<AgentEffect> effects, Class<M> type) {
    Vector<Message> direct =
        effectsOfType(effects, AgentEffect.Send.class).map(AgentEffect.Send::message);
    return direct
        .appendAll(
            effectsOfType(effects, AgentEffect.SendToStage.class)
                .map(AgentEffect.SendToStage::message))
        .filter(type::isInstance)
        .map(type::cast);
  }

  static <F extends AgentEffect> Vector<F> effectsOfType(
      Vector<AgentEffect> effects, Class<F> type) {
    return effects.filter(type::isInstance).map(type::cast);
  }
}
