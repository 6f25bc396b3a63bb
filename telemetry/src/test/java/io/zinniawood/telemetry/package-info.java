/** Tests of logs and metrics. */
package io.zinniawood.telemetry;
