/** Limits and budgets of an entry: values and rules, without effects. */
package io.zinniawood.core.entry.limits;
