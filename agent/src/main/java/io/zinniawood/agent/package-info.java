/** Agent process, which runs beside an endpoint and connects it to entries and other agents. */
package io.zinniawood.agent;
