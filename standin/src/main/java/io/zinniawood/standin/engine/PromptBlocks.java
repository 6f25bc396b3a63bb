package io.zinniawood.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.StringTokenizer;

/** Splits a prompt into tokens and blocks; a block's hash covers the prompt up to its end. */
final class PromptBlocks {
  /** Number of tokens in a block; only whole blocks are cached. */
  static final int BLOCK_TOKENS = 16;

  private PromptBlocks() {}

  /**
   * Size and blocks of a prompt.
   *
   * @param tokens number of tokens, at least 1
   * @param blocks hashes of the whole blocks, in order
   */
  record Prompt(int tokens, long[] blocks) {}

  /** Splits a prompt at white space; each word counts as one token. */
  static Prompt of(byte[] prompt) {
    StringTokenizer words = new StringTokenizer(new String(prompt, StandardCharsets.UTF_8));
    int tokens = words.countTokens();
    long[] blocks = new long[tokens / BLOCK_TOKENS];
    long hash = 0;
    for (int i = 0; i < blocks.length * BLOCK_TOKENS; i++) {
      hash = Hashing.mix(hash, Hashing.ofText(words.nextToken()));
      if ((i + 1) % BLOCK_TOKENS == 0) {
        blocks[i / BLOCK_TOKENS] = hash;
      }
    }
    return new Prompt(Math.max(1, tokens), blocks);
  }
}
