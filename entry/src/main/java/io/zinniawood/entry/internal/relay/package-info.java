/** Polling of the VM list and the configuration, and their distribution between entries. */
package io.zinniawood.entry.internal.relay;
