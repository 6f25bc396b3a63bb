package io.zinniawood.agent.internal;

import static io.zinniawood.agent.internal.EffectDone.DONE;

import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEffectVisitor;
import io.zinniawood.core.agent.AgentNotice;
import io.zinniawood.core.agent.AgentTimer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Executes the effects of the agent's reducer by passing each one to the component in charge. */
public final class AgentEffectExecutor implements AgentEffectVisitor<EffectDone> {
  private static final Logger LOGGER = System.getLogger("io.zinniawood.agent");

  private final PeerConnections connections;
  private final EndpointCalls endpointCalls;
  private final ClaimStore claims;
  private final LeaseReader lease;
  private final Timers timers;
  private final Runnable onStop;

  /** Timers of the event loop. */
  public interface Timers {
    /** Starts a timer, or restarts it if it is running. */
    void start(AgentTimer timer, long delayNanos);

    /** Cancels a timer; has no effect if it is not running. */
    void cancel(AgentTimer timer);
  }

  /** Creates the executor from the components that it calls. */
  public AgentEffectExecutor(
      PeerConnections connections,
      EndpointCalls endpointCalls,
      ClaimStore claims,
      LeaseReader lease,
      Timers timers,
      Runnable onStop) {
    this.connections = connections;
    this.endpointCalls = endpointCalls;
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
    endpointCalls.callService(effect);
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
    endpointCalls.runSteps(effect.steps());
    return DONE;
  }

  @Override
  public EffectDone visitCloseEngineSession(AgentEffect.CloseEngineSession effect) {
    endpointCalls.closeSession(effect.session());
    return DONE;
  }

  @Override
  public EffectDone visitExportCache(AgentEffect.ExportCache effect) {
    endpointCalls.exportCache(effect.session());
    return DONE;
  }

  @Override
  public EffectDone visitImportCache(AgentEffect.ImportCache effect) {
    endpointCalls.importCache(effect);
    return DONE;
  }

  @Override
  public EffectDone visitReadFencingNumber(AgentEffect.ReadFencingNumber effect) {
    lease.readFencingNumber();
    return DONE;
  }

  @Override
  public EffectDone visitSubmitOrder(AgentEffect.SubmitOrder effect) {
    endpointCalls.sendOrder(effect);
    return DONE;
  }

  @Override
  public EffectDone visitReadEngineStatus(AgentEffect.ReadEngineStatus effect) {
    endpointCalls.readStatus();
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
