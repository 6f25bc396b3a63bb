/** Limits and budgets of an entry: immutable values and pure functions. */
package io.zinniawood.core.entry.limits;
