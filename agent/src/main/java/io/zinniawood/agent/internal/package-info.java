/** Execution of the agent's effects: connections, endpoint calls and table access. */
package io.zinniawood.agent.internal;
