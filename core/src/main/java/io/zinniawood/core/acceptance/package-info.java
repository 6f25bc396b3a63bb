/** Decisions of accepting operator configuration: events, effects, state and the reducer. */
package io.zinniawood.core.acceptance;
