/** Structured logging and metrics. */
package io.zinniawood.telemetry;
