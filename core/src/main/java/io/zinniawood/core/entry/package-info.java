/** Reducer of the entry role with its events, effects and state. */
package io.zinniawood.core.entry;
