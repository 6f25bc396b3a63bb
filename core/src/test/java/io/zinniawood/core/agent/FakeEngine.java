package io.zinniawood.core.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Engine whose outputs depend on all inputs of a session, which reveals wrong positions. */
final class FakeEngine {
  private final int stage;
  private final boolean last;
  private final Map<SessionId, List<Payload>> caches = new HashMap<>();

  FakeEngine(int stage, boolean last) {
    this.stage = stage;
    this.last = last;
  }

  static String output(int stage, List<Payload> inputs) {
    return Integer.toHexString(31 * stage + inputs.hashCode());
  }

  Vector<StageResult> run(Vector<StageStep> steps) {
    return steps.map(this::runOne);
  }

  private StageResult runOne(StageStep step) {
    List<Payload> cache = caches.computeIfAbsent(step.session(), id -> new ArrayList<>());
    assertThat("positions run once and in order", step.position(), equalTo(cache.size()));
    cache.add(step.input());
    String output = output(stage, cache);
    return last
        ? new StageResult.Generated(step.session(), step.position(), output, Option.none())
        : new StageResult.Output(step.session(), step.position(), Payload.ofText(output));
  }

  void close(SessionId session) {
    caches.remove(session);
  }

  List<Payload> exportCache(SessionId session) {
    return List.copyOf(caches.getOrDefault(session, List.of()));
  }

  void importCache(SessionId session, List<Payload> cache) {
    caches.put(session, new ArrayList<>(cache));
  }
}
