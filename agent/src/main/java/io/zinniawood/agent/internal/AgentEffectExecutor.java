package io.zinniawood.agent.internal;

import static io.zinniawood.agent.internal.EffectDone.DONE;

import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEffectVisitor;
import io.zinniawood.core.agent.AgentNotice;
import io.zinniawood.core.agent.AgentTimer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Dispatch list of the agent's effects. */
public final class AgentEffectExecutor implements AgentEffectVisitor<EffectDone> {
  private static final Logger LOGGER = System.getLogger("io.zinniawood.agent");

  private final PeerConnections connections;
  private final EndpointCalls engine;
  private final ClaimStore claims;
  private final LeaseReader lease;
  private final Timers timers;
  private final Runnable onStop;

  /** Timers of the event loop. */
  public interface Timers {
    /** Starts or restarts a timer. */
    void start(AgentTimer timer, long delayNanos);

    /** Cancels a timer. */
    void cancel(AgentTimer timer);
  }

  /** Creates the list from its targets. */
  public AgentEffectExecutor(
      PeerConnections connections,
      EndpointCalls engine,
      ClaimStore claims,
      LeaseReader lease,
      Timers timers,
      Runnable onStop) {
    this.connections = connections;
    this.engine = engine;
    this.claims = claims;
    this.lease = lease;
    this.timers = timers;
    this.onStop = onStop;
  }

  @Override
  public EffectDone visitSend(AgentEffect.Send effect) {
    connections.send(effect.peer(), effect.message());
    return DONE;
  }

  @Override
  public EffectDone visitSendToStage(AgentEffect.SendToStage effect) {
    connections.sendToStage(effect.stage(), effect.message());
    return DONE;
  }

  @Override
  public EffectDone visitSendToAddress(AgentEffect.SendToAddress effect) {
    connections.sendToAddress(effect.address(), effect.message());
    return DONE;
  }

  @Override
  public EffectDone visitCallService(AgentEffect.CallService effect) {
    engine.callService(effect);
    return DONE;
  }

  @Override
  public EffectDone visitWriteClaim(AgentEffect.WriteClaim effect) {
    claims.claim(effect);
    return DONE;
  }

  @Override
  public EffectDone visitStoreAnswer(AgentEffect.StoreAnswer effect) {
    claims.storeAnswer(effect);
    return DONE;
  }

  @Override
  public EffectDone visitRunSteps(AgentEffect.RunSteps effect) {
    engine.runSteps(effect.steps());
    return DONE;
  }

  @Override
  public EffectDone visitCloseEngineSession(AgentEffect.CloseEngineSession effect) {
    engine.closeSession(effect.session());
    return DONE;
  }

  @Override
  public EffectDone visitExportCache(AgentEffect.ExportCache effect) {
    engine.exportCache(effect.session());
    return DONE;
  }

  @Override
  public EffectDone visitImportCache(AgentEffect.ImportCache effect) {
    engine.importCache(effect);
    return DONE;
  }

  @Override
  public EffectDone visitReadFencingNumber(AgentEffect.ReadFencingNumber effect) {
    lease.readFencingNumber();
    return DONE;
  }

  @Override
  public EffectDone visitPassOrder(AgentEffect.PassOrder effect) {
    engine.sendOrder(effect);
    return DONE;
  }

  @Override
  public EffectDone visitReadEngineStatus(AgentEffect.ReadEngineStatus effect) {
    engine.readStatus();
    return DONE;
  }

  @Override
  public EffectDone visitStartTimer(AgentEffect.StartTimer effect) {
    timers.start(effect.timer(), effect.delayNanos());
    return DONE;
  }

  @Override
  public EffectDone visitCancelTimer(AgentEffect.CancelTimer effect) {
    timers.cancel(effect.timer());
    return DONE;
  }

  @Override
  public EffectDone visitLog(AgentEffect.Log effect) {
    AgentNotice notice = effect.notice();
    LOGGER.log(Level.INFO, "{0} {1}: {2}", notice.kind(), notice.subject(), notice.detail());
    return DONE;
  }

  @Override
  public EffectDone visitStop(AgentEffect.Stop effect) {
    onStop.run();
    return DONE;
  }
}
