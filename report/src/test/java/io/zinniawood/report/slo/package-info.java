/** Tests of counts and burn rates. */
package io.zinniawood.report.slo;
