/** Agent role: events, effects, state, and the reducer that connects them. */
package io.zinniawood.core.agent;
