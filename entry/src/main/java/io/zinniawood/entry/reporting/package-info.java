/** Collects figures of an entry, merges them over all entries, and supplies the reports. */
package io.zinniawood.entry.reporting;
