/** Shell of the entry: executes effects and turns input and output into events. */
package io.zinniawood.entry.internal;
