/** Request counts, error budgets, burn rates and alerts of service-level objectives. */
package io.zinniawood.report.slo;
