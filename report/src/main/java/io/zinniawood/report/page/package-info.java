/** Report pages: each report class builds the report model from its input figures. */
package io.zinniawood.report.page;
