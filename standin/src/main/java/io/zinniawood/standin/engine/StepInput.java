package io.zinniawood.standin.engine;

import io.zinniawood.standin.engine.PromptBlocks.Prompt;
import java.nio.ByteBuffer;

/**
 * Decoded input of a step: the value that enters the first layer of the range, and the prompt's
 * size, from which this range and later ones compute their cost.
 *
 * @param value hash of the prompt or token, or activation of the preceding range
 * @param prompt tokens and blocks of the prompt at position 0; empty at later positions
 */
record StepInput(long value, Prompt prompt) {
  private static final Prompt NO_PROMPT = new Prompt(0, new long[0]);

  static StepInput ofText(int position, byte[] text) {
    return new StepInput(Hashing.ofBytes(text), position == 0 ? PromptBlocks.of(text) : NO_PROMPT);
  }

  /**
   * Decodes the output of the preceding layer range.
   *
   * @throws IllegalArgumentException if its length is wrong
   */
  static StepInput ofActivation(byte[] payload) {
    if (payload.length < 12 || payload.length % 8 != 4) {
      throw new IllegalArgumentException(
          "an activation must have 12 bytes plus 8 for each block, but has " + payload.length);
    }
    ByteBuffer buffer = ByteBuffer.wrap(payload);
    long value = buffer.getLong();
    int tokens = buffer.getInt();
    long[] blocks = new long[buffer.remaining() / 8];
    for (int i = 0; i < blocks.length; i++) {
      blocks[i] = buffer.getLong();
    }
    return new StepInput(value, new Prompt(tokens, blocks));
  }

  /** Encodes the activation after this range as input of the next range. */
  byte[] encodeActivation(long activation) {
    ByteBuffer buffer = ByteBuffer.allocate(12 + 8 * prompt.blocks().length);
    buffer.putLong(activation).putInt(prompt.tokens());
    for (long block : prompt.blocks()) {
      buffer.putLong(block);
    }
    return buffer.array();
  }
}
