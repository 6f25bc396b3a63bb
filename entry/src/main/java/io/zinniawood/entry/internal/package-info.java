/** I/O layer of the entry: executes the reducer's effects and converts I/O to events. */
package io.zinniawood.entry.internal;
