package io.zinniawood.entry.internal;

import static io.zinniawood.entry.internal.EffectResult.DONE;

import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEffectVisitor;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryTimer;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.entry.internal.http.CallerReply;
import io.zinniawood.entry.internal.http.OpenRequests;
import io.zinniawood.entry.internal.link.AgentLinks;
import io.zinniawood.entry.internal.store.ClaimReleaser;
import io.zinniawood.entry.internal.store.LeaseStore;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/** Executes the effects of the entry's reducer on the event-loop thread. */
public final class EntryEffects implements EntryEffectVisitor<EffectResult> {
  /**
   * Components that the effects act on.
   *
   * @param requests open requests of callers
   * @param agents connections to agents
   * @param claims reads and releases claims
   * @param lease stores the controller lease
   * @param timers timers of the event loop
   * @param readiness receives each new readiness state
   * @param results receives the results of requests
   * @param incidents receives incidents
   * @param stop stops the process; called when no request is in progress, must not block
   */
  public record Targets(
      OpenRequests requests,
      AgentLinks agents,
      ClaimReleaser claims,
      LeaseStore lease,
      Timers timers,
      Consumer<Readiness> readiness,
      Consumer<RequestResult> results,
      Consumer<Incident> incidents,
      Runnable stop) {}

  /** Timers of the event loop. */
  public interface Timers {
    /** Starts or restarts a timer that posts the event after the delay. */
    void start(EntryTimer timer, long delayNanos, EntryEvent event);

    /** Cancels a timer. */
    void cancel(EntryTimer timer);
  }

  private static final Logger LOGGER = System.getLogger(EntryEffects.class.getName());

  private final Targets targets;

  /** Creates a visitor that acts on the given targets. */
  public EntryEffects(Targets targets) {
    this.targets = targets;
  }

  @Override
  public EffectResult visitReplyToken(EntryEffect.ReplyToken effect) {
    return reply(effect.request(), reply -> reply.addToken(effect.text()));
  }

  @Override
  public EffectResult visitFinishAnswer(EntryEffect.FinishAnswer effect) {
    return reply(effect.request(), reply -> reply.finish(effect.reason(), effect.tokens()));
  }

  @Override
  public EffectResult visitReplyServiceAnswer(EntryEffect.ReplyServiceAnswer effect) {
    return reply(effect.request(), reply -> reply.sendServiceAnswer(effect.answer()));
  }

  @Override
  public EffectResult visitReplyProblem(EntryEffect.ReplyProblem effect) {
    return reply(effect.request(), reply -> reply.sendProblem(effect.problem()));
  }

  /** Writes to the caller of an open request; ends the request if that fails. */
  private EffectResult reply(RequestId request, Consumer<CallerReply> write) {
    for (CallerReply reply : targets.requests().find(request)) {
      try {
        write.accept(reply);
      } catch (RuntimeException | Error failure) {
        LOGGER.log(Level.ERROR, "answer to request %s failed".formatted(request), failure);
        targets.requests().abandon(request);
        reply.sendProblem(CallerReply.UNWRITABLE);
      }
    }
    return DONE;
  }

  @Override
  public EffectResult visitSendToAgent(EntryEffect.SendToAgent effect) {
    targets.agents().send(effect.endpoint(), effect.incarnation(), effect.message());
    return DONE;
  }

  @Override
  public EffectResult visitConnectAgent(EntryEffect.ConnectAgent effect) {
    targets.agents().connect(effect.endpoint(), effect.address());
    return DONE;
  }

  @Override
  public EffectResult visitDisconnectAgent(EntryEffect.DisconnectAgent effect) {
    targets.agents().disconnect(effect.endpoint());
    return DONE;
  }

  @Override
  public EffectResult visitReadClaim(EntryEffect.ReadClaim effect) {
    targets.claims().read(effect);
    return DONE;
  }

  @Override
  public EffectResult visitReleaseClaim(EntryEffect.ReleaseClaim effect) {
    targets.claims().release(effect);
    return DONE;
  }

  @Override
  public EffectResult visitReadLease(EntryEffect.ReadLease effect) {
    targets.lease().read();
    return DONE;
  }

  @Override
  public EffectResult visitWriteLease(EntryEffect.WriteLease effect) {
    targets.lease().write(effect.expectedVersion(), effect.row());
    return DONE;
  }

  @Override
  public EffectResult visitStartTimer(EntryEffect.StartTimer effect) {
    EntryEvent fired = new EntryEvent.TimerFired(effect.timer());
    targets.timers().start(effect.timer(), effect.delayNanos(), fired);
    return DONE;
  }

  @Override
  public EffectResult visitCancelTimer(EntryEffect.CancelTimer effect) {
    targets.timers().cancel(effect.timer());
    return DONE;
  }

  @Override
  public EffectResult visitSetReadiness(EntryEffect.SetReadiness effect) {
    targets.readiness().accept(effect.readiness());
    return DONE;
  }

  @Override
  public EffectResult visitRecordResult(EntryEffect.RecordResult effect) {
    targets.results().accept(effect.result());
    return DONE;
  }

  @Override
  public EffectResult visitRecordIncident(EntryEffect.RecordIncident effect) {
    targets.incidents().accept(effect.incident());
    return DONE;
  }

  @Override
  public EffectResult visitStopProcess(EntryEffect.StopProcess effect) {
    targets.stop().run();
    return DONE;
  }
}
