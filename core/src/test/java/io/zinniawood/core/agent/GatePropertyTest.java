package io.zinniawood.core.agent;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class GatePropertyTest {
  // Guards against a second call of an attempt or a key, a call after a confirmed not-run, a call
  // beyond the limit, work that starts after LEAVING, and a drain that never ends.
  @Property(seed = "20261204", tries = 4_000)
  void attemptsRunAtMostOnceAndNotRunIsTrue(
      @ForAll @Size(min = 5, max = 120) List<@IntRange(max = 1_000_000) Integer> choices) {
    GateWorld world = new GateWorld();
    choices.forEach(world::act);
    world.finish();
  }
}
