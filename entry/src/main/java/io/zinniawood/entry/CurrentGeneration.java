package io.zinniawood.entry;

import io.zinniawood.core.id.Generation;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Generation of the configuration that this process has. The wire stamps it on every message; it
 * never goes down.
 */
public final class CurrentGeneration implements Supplier<Generation> {
  private final AtomicLong value = new AtomicLong();

  /** Raises the generation; a lower or equal one changes nothing. */
  public void raiseTo(Generation generation) {
    value.accumulateAndGet(generation.value(), Math::max);
  }

  @Override
  public Generation get() {
    return new Generation(value.get());
  }
}
