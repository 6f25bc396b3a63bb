package io.zinniawood.config;

import io.vavr.control.Option;

/**
 * Difference in the value of one key between two configurations.
 *
 * @param key dotted key
 * @param before old value as text, none if the key was added
 * @param after new value as text, none if the key was removed
 */
public record ConfigurationChange(String key, Option<String> before, Option<String> after) {
  /** Returns the change as one line of text. */
  public String text() {
    if (before.isEmpty()) {
      return "%s: added with %s".formatted(key, after.getOrElse("nothing"));
    }
    return after
        .map(value -> "%s: changed from %s to %s".formatted(key, before.get(), value))
        .getOrElse("%s: removed, was %s".formatted(key, before.get()));
  }
}
