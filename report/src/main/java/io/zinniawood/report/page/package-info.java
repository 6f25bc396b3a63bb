/** Reports: one class for each report turns figures into the report model. */
package io.zinniawood.report.page;
