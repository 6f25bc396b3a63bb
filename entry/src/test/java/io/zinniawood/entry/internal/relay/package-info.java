/** Tests of the selection of the entries that poll the platform. */
package io.zinniawood.entry.internal.relay;
