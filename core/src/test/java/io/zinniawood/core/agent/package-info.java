/** Tests of the agent's reducer in virtual time. */
package io.zinniawood.core.agent;
