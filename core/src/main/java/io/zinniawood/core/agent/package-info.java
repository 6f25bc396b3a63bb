/** Decisions of the agent role: events, effects, state and the reducer. */
package io.zinniawood.core.agent;
