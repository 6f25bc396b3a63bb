/** Tests of the agent process. */
package io.zinniawood.agent;
