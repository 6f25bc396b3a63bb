/** Collects figures of an entry, merges those of all entries, and supplies the reports. */
package io.zinniawood.entry.reporting;
