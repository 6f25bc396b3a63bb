/** Agent process beside an endpoint. */
package io.zinniawood.agent;
