package io.zinniawood.relay.internal;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.relay.PlatformClient;

/** Carries out the effects that call the platform or the other relays. */
abstract class PlatformEffects implements RelayEffect.Visitor {
  private PlatformClient platform;
  private PeerSender peers;
  private RelayState state;

  /** Sets the clients; must precede the first effect. */
  void connect(PlatformClient client, PeerSender sender, RelayState relayState) {
    state = relayState;
    platform = client;
    peers = sender;
  }

  PlatformClient platform() {
    return platform;
  }

  /** Returns the process start of an endpoint that the list shows. */
  EndpointIncarnation incarnation(EndpointId endpoint) {
    return state.incarnation(endpoint);
  }

  @Override
  public void order(RelayEffect.Order effect) {
    platform.sendOrder(effect.order(), state.incarnation(effect.order().endpoint()));
  }

  @Override
  public void readReport(RelayEffect.ReadReport effect) {
    platform.readReport(state.incarnation(effect.endpoint()), effect.address());
  }

  @Override
  public void listEndpoints(RelayEffect.ListEndpoints effect) {
    platform.listEndpoints();
  }

  @Override
  public void readEndpointChanges(RelayEffect.ReadEndpointChanges effect) {
    platform.readEndpointChanges(effect.afterVersion());
  }

  @Override
  public void readRoutes(RelayEffect.ReadRoutes effect) {
    platform.readRoutes();
  }

  @Override
  public void awaitRoutes(RelayEffect.AwaitRoutes effect) {
    platform.awaitRoutes(effect.afterVersion(), effect.waitMillis());
  }

  @Override
  public void sendToPeers(RelayEffect.SendToPeers effect) {
    peers.send(effect.receivers(), effect.message());
  }

  @Override
  public void readLease(RelayEffect.ReadLease effect) {
    platform.readLease();
  }

  @Override
  public void writeLease(RelayEffect.WriteLease effect) {
    platform.writeLease(effect.expectedVersion(), effect.row());
  }

  @Override
  public void writePresence(RelayEffect.WritePresence effect) {
    platform.writePresence(effect.vm(), effect.peerAddress(), effect.heartbeat());
  }
}
