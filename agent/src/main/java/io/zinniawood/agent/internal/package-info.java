/** Execution of the agent's effects: connections, engine calls, table access. */
package io.zinniawood.agent.internal;
