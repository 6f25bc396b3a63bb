/** Tests of the reports. */
package io.zinniawood.report.page;
