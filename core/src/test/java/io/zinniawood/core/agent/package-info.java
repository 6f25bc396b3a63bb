/** Tests of the agent's decisions in virtual time. */
package io.zinniawood.core.agent;
