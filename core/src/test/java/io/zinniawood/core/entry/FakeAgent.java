package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.RequestDigest;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServingState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Fake agent with a stage engine or a plain service; follows sections 3.3 and 3.4 of
 * docs/design.md.
 */
final class FakeAgent {
  final EndpointId endpoint;
  final Map<SessionId, Stage> sessions = new HashMap<>();
  final Map<AttemptId, Call> calls = new HashMap<>();
  final List<Message.Order> receivedOrders = new ArrayList<>();
  Capability capability;
  Incarnation incarnation = new Incarnation(1);
  ServingState state = ServingState.SERVING;
  boolean running = true;
  boolean stalled;
  boolean keepsOutputs = true;
  long stepMillis = 3;
  boolean failsCalls;
  private final World world;

  FakeAgent(World world, String name, Capability capability) {
    this.world = world;
    this.endpoint = new EndpointId(name);
    this.capability = capability;
  }

  Message.Status status() {
    return new Message.Status(state, capability, LoadReport.idle(8));
  }

  void restart() {
    sessions.clear();
    calls.clear();
    incarnation = new Incarnation(incarnation.value() + 1);
    state = ServingState.SERVING;
    stalled = false;
    running = true;
  }

  void receive(Message message) {
    if (message instanceof Message.OpenSession open) {
      open(open);
    } else if (message instanceof Message.StepInput input) {
      step(input.session(), input.epoch(), input.position(), input.input().text());
    } else if (message instanceof Message.Activation activation) {
      step(
          activation.session(),
          activation.epoch(),
          activation.position(),
          activation.payload().text());
    } else if (message instanceof Message.Replay replay) {
      replay(replay);
    } else if (message instanceof Message.CloseSession close) {
      sessions.remove(close.session());
    } else if (message instanceof Message.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (message instanceof Message.CancelDispatch cancel) {
      cancel(cancel);
    } else if (message instanceof Message.Order order) {
      receivedOrders.add(order);
      world.sendToEntry(this, new Message.OrderResult(order.order(), OrderOutcome.DONE, "loaded"));
    }
  }

  private void open(Message.OpenSession open) {
    Stage stage = sessions.get(open.session());
    RefusalReason refusal = null;
    if (!open.incarnation().equals(incarnation)) {
      refusal = RefusalReason.WRONG_INCARNATION;
    } else if (stage == null && state == ServingState.LEAVING) {
      refusal = RefusalReason.LEAVING;
    } else if (stage != null && open.epoch().compareTo(stage.epoch) < 0) {
      refusal = RefusalReason.STALE_EPOCH;
    }
    if (refusal != null) {
      world.sendToEntry(
          this,
          new Message.SessionRefused(open.session(), open.epoch(), open.stageIndex(), refusal));
      return;
    }
    if (stage == null) {
      stage = new Stage();
      List<String> outputs = stage.outputs;
      open.importFrom()
          .flatMap(from -> world.findStage(from, open.session()))
          .forEach(other -> outputs.addAll(other.outputs));
      sessions.put(open.session(), stage);
    }
    stage.epoch = open.epoch();
    stage.open = open;
    world.sendToEntry(
        this,
        new Message.SessionOpened(
            open.session(), open.epoch(), open.stageIndex(), stage.outputs.size()));
  }

  private void step(SessionId id, Epoch epoch, int position, String input) {
    Stage stage = sessions.get(id);
    if (stage == null || !stage.epoch.equals(epoch) || position > stage.outputs.size()) {
      return;
    }
    if (position < stage.outputs.size()) {
      output(stage, position);
      return;
    }
    if (!stalled) {
      LayerRange layers = stage.open.chain().get(stage.open.stageIndex()).layers();
      String tag = "[" + layers.fromLayer() + "-" + layers.toLayerExclusive() + "]";
      world.invariants.stepStarted(id);
      stage.outputs.add(input + tag);
      world.scheduleForAgent(stepMillis, this, () -> output(stage, position));
    }
  }

  private void output(Stage stage, int position) {
    if (sessions.get(stage.open.session()) != stage) {
      return;
    }
    Message.OpenSession open = stage.open;
    String text = stage.outputs.get(position);
    if (open.stageIndex() + 1 < open.chain().length()) {
      world.sendToPeer(
          this,
          open.chain().get(open.stageIndex() + 1).endpoint(),
          new Message.Activation(open.session(), stage.epoch, position, Payload.ofText(text)));
      return;
    }
    world.sendToEntry(
        this,
        new Message.Token(
            open.session(),
            stage.epoch,
            position,
            Fixtures.token(text, position),
            Option.when(position == Fixtures.TOKENS_PER_ANSWER - 1, FinishReason.STOP)));
  }

  private void replay(Message.Replay replay) {
    Stage stage = sessions.get(replay.session());
    if (stage == null || !stage.epoch.equals(replay.epoch())) {
      return;
    }
    if (!keepsOutputs || stage.outputs.size() < replay.toPositionExclusive()) {
      world.sendToEntry(
          this,
          new Message.StageFailed(
              replay.session(),
              replay.epoch(),
              stage.open.stageIndex(),
              RefusalReason.REPLAY_UNAVAILABLE));
      return;
    }
    for (int p = replay.fromPosition(); p < replay.toPositionExclusive(); p++) {
      output(stage, p);
    }
  }

  private void dispatch(Message.Dispatch dispatch) {
    Call call = calls.get(dispatch.attempt());
    if (!dispatch.incarnation().equals(incarnation)) {
      refuse(dispatch, RefusalReason.WRONG_INCARNATION, Option.none());
    } else if (call != null && call.state == CallState.CANCELLED) {
      refuse(dispatch, RefusalReason.CANCELLED, Option.none());
    } else if (call != null && call.state == CallState.FAILED) {
      refuse(dispatch, RefusalReason.ENDPOINT_FAILED, Option.none());
    } else if (call != null) {
      call.waiters.add(dispatch);
      if (call.state == CallState.FINISHED) {
        reply(call);
      }
    } else if (state == ServingState.LEAVING) {
      refuse(dispatch, RefusalReason.LEAVING, Option.none());
    } else {
      Call queued = new Call();
      queued.waiters.add(dispatch);
      calls.put(dispatch.attempt(), queued);
      world.scheduleForAgent(5, this, () -> start(dispatch, queued));
    }
  }

  private void start(Message.Dispatch dispatch, Call call) {
    if (call.state != CallState.QUEUED) {
      return;
    }
    if (stalled) {
      world.scheduleForAgent(50, this, () -> start(dispatch, call));
      return;
    }
    if (dispatch.idempotency() == Idempotency.NON_IDEMPOTENT && dispatch.key().isDefined()) {
      if (world.table.unavailable) {
        call.state = CallState.CANCELLED;
        refuse(dispatch, RefusalReason.STORE_UNAVAILABLE, Option.none());
        return;
      }
      String digest = RequestDigest.of(dispatch.call());
      ClaimRow claim =
          new ClaimRow(
              endpoint,
              incarnation,
              dispatch.attempt(),
              digest,
              ClaimState.STARTED,
              dispatch.fence(),
              Option.none());
      Option<ClaimRow> row = world.table.claim(key(dispatch), claim);
      if (row.isDefined()) {
        call.state = CallState.CANCELLED;
        boolean same = row.get().requestDigest().equals(digest);
        refuse(
            dispatch, same ? RefusalReason.CLAIMED_BY_OTHER : RefusalReason.DIGEST_MISMATCH, row);
        return;
      }
    }
    call.state = CallState.RUNNING;
    world.invariants.callStarted(dispatch);
    world.scheduleForAgent(30, this, () -> finish(dispatch, call));
  }

  private void finish(Message.Dispatch dispatch, Call call) {
    call.state = failsCalls ? CallState.FAILED : CallState.FINISHED;
    if (failsCalls) {
      refuse(dispatch, RefusalReason.ENDPOINT_FAILED, Option.none());
      return;
    }
    call.answer = new ServiceAnswer(200, Vector.empty(), dispatch.call().body());
    if (world.table.claims.containsKey(key(dispatch)) && !world.table.unavailable) {
      world.table.finish(key(dispatch), call.answer);
    }
    reply(call);
  }

  private void reply(Call call) {
    for (Message.Dispatch waiter : call.waiters) {
      world.sendToEntry(
          this,
          new Message.DispatchReply(
              waiter.request(), waiter.attempt(), call.answer, LoadReport.idle(8)));
    }
    call.waiters.clear();
  }

  private void cancel(Message.CancelDispatch cancel) {
    Call call = calls.computeIfAbsent(cancel.attempt(), attempt -> new Call());
    if (call.state == CallState.QUEUED) {
      call.state = CallState.CANCELLED;
    }
    CancelOutcome outcome =
        switch (call.state) {
          case RUNNING -> CancelOutcome.RUNNING;
          case FINISHED, FAILED -> CancelOutcome.FINISHED;
          default -> CancelOutcome.NOT_STARTED;
        };
    world.sendToEntry(this, new Message.CancelResult(cancel.request(), cancel.attempt(), outcome));
  }

  /**
   * Refuses a call. The outcome is unknown only if the service failed during the call; otherwise
   * the call did not run.
   */
  private void refuse(Message.Dispatch dispatch, RefusalReason reason, Option<ClaimRow> row) {
    Outcome outcome = reason == RefusalReason.ENDPOINT_FAILED ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    world.sendToEntry(
        this,
        new Message.DispatchRefused(dispatch.request(), dispatch.attempt(), reason, outcome, row));
  }

  private static ClaimKey key(Message.Dispatch dispatch) {
    return new ClaimKey(
        dispatch.clientAccount(),
        dispatch.service(),
        dispatch.key().getOrElse(new IdempotencyKey("none")));
  }

  /** Session of a stage engine. */
  static final class Stage {
    final List<String> outputs = new ArrayList<>();
    Epoch epoch = new Epoch(0);
    Message.OpenSession open;
  }

  /** Attempt at a call of the plain service. */
  static final class Call {
    final List<Message.Dispatch> waiters = new ArrayList<>();
    CallState state = CallState.QUEUED;
    ServiceAnswer answer;
  }

  enum CallState {
    QUEUED,
    RUNNING,
    FINISHED,
    FAILED,
    CANCELLED
  }
}
