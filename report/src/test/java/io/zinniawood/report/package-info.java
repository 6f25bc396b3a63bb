/** Tests of the report renderers and of the display format. */
package io.zinniawood.report;
