/** Tests of the execution of the agent's effects. */
package io.zinniawood.agent.internal;
