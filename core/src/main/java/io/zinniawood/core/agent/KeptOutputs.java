package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.model.Payload;

/**
 * Outputs of consecutive positions of a session, kept so that they can be sent again.
 *
 * @param fromPosition position of the first output
 * @param outputs outputs in order of their positions
 * @param bytes size of the outputs in bytes
 */
record KeptOutputs(int fromPosition, Vector<Payload> outputs, long bytes) {
  static KeptOutputs empty() {
    return new KeptOutputs(0, Vector.empty(), 0);
  }

  /** Returns outputs of which the last belongs to the position before {@code nextPosition}. */
  static KeptOutputs endingBefore(int nextPosition, Vector<Payload> outputs) {
    Vector<Payload> last = outputs.takeRight(nextPosition);
    long bytes = last.map(Payload::sizeBytes).sum().longValue();
    return new KeptOutputs(nextPosition - last.size(), last, bytes);
  }

  Option<Payload> get(int position) {
    int index = position - fromPosition;
    return index >= 0 && index < outputs.size() ? Option.some(outputs.get(index)) : Option.none();
  }

  KeptOutputs append(Payload output) {
    return new KeptOutputs(fromPosition, outputs.append(output), bytes + output.sizeBytes());
  }

  /** Drops the older half. The last output always stays, because a repeated step needs it. */
  KeptOutputs dropOlderHalf() {
    int dropped = outputs.size() / 2;
    long droppedBytes = outputs.take(dropped).map(Payload::sizeBytes).sum().longValue();
    return new KeptOutputs(fromPosition + dropped, outputs.drop(dropped), bytes - droppedBytes);
  }
}
