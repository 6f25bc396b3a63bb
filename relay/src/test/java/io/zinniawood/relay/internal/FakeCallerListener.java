package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.LocalAnswer;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.ingress.CallerMemory;
import io.zinniawood.ingress.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Records the requests and closes of callers' connections; answers only when told to. */
final class FakeCallerListener implements CallerListener {
  final List<String> paths = new ArrayList<>();
  final List<String> bodies = new ArrayList<>();
  final List<ConnectionClose> closes = new ArrayList<>();
  final List<RelayRequestId> abandoned = new ArrayList<>();
  final List<RelayRequestId> failed = new ArrayList<>();
  RequestLimits limits = RequestLimits.DEFAULT;
  MemoryAccount memory = new MemoryAccount(16 * 1024 * 1024, 8 * 1024 * 1024, (used, limit) -> {});
  CallerMemory connectionMemory =
      new CallerMemory(new MemoryAccount(16 * 1024 * 1024, 0, (used, limit) -> {}), 1_000);
  boolean draining;
  boolean failing;
  private CallerHandler connection;

  @Override
  public RequestLimits limits() {
    return limits;
  }

  @Override
  public MemoryAccount requestMemory() {
    return memory;
  }

  @Override
  public CallerMemory connectionMemory() {
    return connectionMemory;
  }

  @Override
  public boolean draining() {
    return draining;
  }

  @Override
  public void requestReceived(CallerHandler caller, HttpRequest head, ByteBuf body) {
    if (failing) {
      body.release();
      throw new IllegalStateException("fault in the decision");
    }
    connection = caller;
    paths.add(head.uri());
    bodies.add(body.toString(StandardCharsets.US_ASCII));
    CallerRequest request =
        new CallerRequest(
            Optional.empty(),
            "host",
            head.uri(),
            Optional.empty(),
            OptionalLong.empty(),
            0,
            0,
            0,
            List.of());
    caller.beginExchange(
        new CallerExchange(new RelayRequestId(paths.size()), head, request, body, caller));
  }

  void answer() {
    connection.writeLocalAnswer(LocalAnswer.noRoute());
  }

  @Override
  public void requestFailed(RelayRequestId id) {
    failed.add(id);
  }

  @Override
  public void callerDisconnected(RelayRequestId id) {
    abandoned.add(id);
  }

  @Override
  public void connectionClosed(ConnectionClose close) {
    closes.add(close);
  }

  @Override
  public void writabilityChanged(RelayRequestId id, boolean writable) {}
}
