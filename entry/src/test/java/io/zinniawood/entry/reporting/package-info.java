/** Tests of the reports of an entry. */
package io.zinniawood.entry.reporting;
