/** Tests of the report pages. */
package io.zinniawood.report.page;
