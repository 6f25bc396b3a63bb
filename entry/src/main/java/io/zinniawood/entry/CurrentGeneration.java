package io.zinniawood.entry;

import io.zinniawood.core.id.Generation;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Generation of the configuration that this process has. The wire transport adds it to every
 * message. The value never decreases.
 */
public final class CurrentGeneration implements Supplier<Generation> {
  private final AtomicLong value = new AtomicLong();

  /** Raises the generation to the given one; ignores a lower or equal one. */
  public void raiseTo(Generation generation) {
    value.accumulateAndGet(generation.value(), Math::max);
  }

  @Override
  public Generation get() {
    return new Generation(value.get());
  }
}
