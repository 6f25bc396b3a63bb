/** Tests of request counts, error budgets and alerts. */
package io.zinniawood.report.slo;
