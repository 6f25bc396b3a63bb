package io.zinniawood.config;

import java.util.Random;

/** Mutates texts at random for property tests. */
public final class TextMutator {
  private static final String[] FRAGMENTS = {
    "[",
    "]",
    "\"",
    "'''",
    "=",
    "\n",
    "\u0000",
    "\u202e",
    "{",
    "}",
    "1e999",
    "nan",
    "-0.0",
    ",",
    "[[models]]\n",
    "models.chat.layers = 3\n",
    "0x7fffffffffffffff",
    "1979-05-27",
    "\\u12",
    "#",
    "a.b.c.d = 1\n",
    "\"\" = 2\n",
    "[client_accounts.\" \"]\n",
    "\ud83d\ude00",
    ".",
    "true"
  };

  private TextMutator() {}

  /** Returns the text with up to three insertions, removals or repetitions at random places. */
  public static String mutate(String text, Random random) {
    StringBuilder mutated = new StringBuilder(text);
    int changes = random.nextInt(4);
    for (int i = 0; i < changes; i++) {
      int at = random.nextInt(mutated.length() + 1);
      int end = Math.min(mutated.length(), at + 1 + random.nextInt(12));
      switch (random.nextInt(4)) {
        case 0 -> mutated.delete(at, end);
        case 1 -> mutated.insert(at, mutated.substring(at, end));
        case 2 -> mutated.insert(at, FRAGMENTS[random.nextInt(FRAGMENTS.length)].repeat(600));
        default -> mutated.insert(at, FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
      }
    }
    return mutated.toString();
  }
}
