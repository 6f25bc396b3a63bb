package io.zinniawood.config;

import io.vavr.control.Option;

/**
 * Value that differs between two configurations.
 *
 * @param key dotted key
 * @param before value before as text, none if the key did not exist
 * @param after value after as text, none if the key no longer exists
 */
public record ConfigurationChange(String key, Option<String> before, Option<String> after) {
  /** Returns the change as one line for a person. */
  public String text() {
    if (before.isEmpty()) {
      return "%s: added with %s".formatted(key, after.getOrElse("nothing"));
    }
    return after
        .map(value -> "%s: changed from %s to %s".formatted(key, before.get(), value))
        .getOrElse("%s: removed, was %s".formatted(key, before.get()));
  }
}
