/** Polling of the VM list and the configuration, and their relay between entries. */
package io.zinniawood.entry.internal.relay;
