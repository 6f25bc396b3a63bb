/** Decisions of the entry role: events, effects, state and the reducer. */
package io.zinniawood.core.entry;
