/** Logs and metrics. */
package io.zinniawood.telemetry;
