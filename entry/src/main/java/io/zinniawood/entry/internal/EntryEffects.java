package io.zinniawood.entry.internal;

import static io.zinniawood.entry.internal.EffectDone.DONE;

import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEffectVisitor;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryTimer;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.entry.internal.http.CallerReply;
import io.zinniawood.entry.internal.http.OpenRequests;
import io.zinniawood.entry.internal.link.AgentLinks;
import io.zinniawood.entry.internal.store.ClaimReleaser;
import io.zinniawood.entry.internal.store.LeaseStore;
import java.util.function.Consumer;

/** Carries out the effects of the entry's reducer on the event-loop thread. */
public final class EntryEffects implements EntryEffectVisitor<EffectDone> {
  /**
   * What the effects act on.
   *
   * @param requests open requests of callers
   * @param agents connections to agents
   * @param claims release of claims
   * @param lease controller lease
   * @param timers timers of the event loop
   * @param readiness takes a new readiness
   * @param results takes the results of requests
   * @param incidents takes incidents
   * @param stop is run when nothing is in progress; must not block
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
    /** Starts or restarts a timer. */
    void start(EntryTimer timer, long delayNanos, EntryEvent event);

    /** Cancels a timer. */
    void cancel(EntryTimer timer);
  }

  private final Targets targets;

  /** Creates a visitor that acts on the given targets. */
  public EntryEffects(Targets targets) {
    this.targets = targets;
  }

  @Override
  public EffectDone visitReplyToken(EntryEffect.ReplyToken effect) {
    targets.requests().find(effect.request()).forEach(reply -> reply.token(effect.text()));
    return DONE;
  }

  @Override
  public EffectDone visitFinishAnswer(EntryEffect.FinishAnswer effect) {
    targets
        .requests()
        .find(effect.request())
        .forEach(reply -> reply.finish(effect.reason(), effect.tokens()));
    return DONE;
  }

  @Override
  public EffectDone visitReplyServiceAnswer(EntryEffect.ReplyServiceAnswer effect) {
    targets.requests().find(effect.request()).forEach(reply -> reply.service(effect.answer()));
    return DONE;
  }

  @Override
  public EffectDone visitReplyProblem(EntryEffect.ReplyProblem effect) {
    for (CallerReply reply : targets.requests().find(effect.request())) {
      reply.problem(effect.problem());
    }
    return DONE;
  }

  @Override
  public EffectDone visitSendToAgent(EntryEffect.SendToAgent effect) {
    targets.agents().send(effect.endpoint(), effect.incarnation(), effect.message());
    return DONE;
  }

  @Override
  public EffectDone visitConnectAgent(EntryEffect.ConnectAgent effect) {
    targets.agents().connect(effect.endpoint(), effect.address());
    return DONE;
  }

  @Override
  public EffectDone visitDisconnectAgent(EntryEffect.DisconnectAgent effect) {
    targets.agents().disconnect(effect.endpoint());
    return DONE;
  }

  @Override
  public EffectDone visitReadClaim(EntryEffect.ReadClaim effect) {
    targets.claims().read(effect);
    return DONE;
  }

  @Override
  public EffectDone visitReleaseClaim(EntryEffect.ReleaseClaim effect) {
    targets.claims().release(effect);
    return DONE;
  }

  @Override
  public EffectDone visitReadLease(EntryEffect.ReadLease effect) {
    targets.lease().read();
    return DONE;
  }

  @Override
  public EffectDone visitWriteLease(EntryEffect.WriteLease effect) {
    targets.lease().write(effect.expectedVersion(), effect.row());
    return DONE;
  }

  @Override
  public EffectDone visitStartTimer(EntryEffect.StartTimer effect) {
    EntryEvent fired = new EntryEvent.TimerFired(effect.timer());
    targets.timers().start(effect.timer(), effect.delayNanos(), fired);
    return DONE;
  }

  @Override
  public EffectDone visitCancelTimer(EntryEffect.CancelTimer effect) {
    targets.timers().cancel(effect.timer());
    return DONE;
  }

  @Override
  public EffectDone visitSetReadiness(EntryEffect.SetReadiness effect) {
    targets.readiness().accept(effect.readiness());
    return DONE;
  }

  @Override
  public EffectDone visitRecordResult(EntryEffect.RecordResult effect) {
    targets.results().accept(effect.result());
    return DONE;
  }

  @Override
  public EffectDone visitRecordIncident(EntryEffect.RecordIncident effect) {
    targets.incidents().accept(effect.incident());
    return DONE;
  }

  @Override
  public EffectDone visitStopProcess(EntryEffect.StopProcess effect) {
    targets.stop().run();
    return DONE;
  }
}
