/** Tests of the choice of polling entries. */
package io.zinniawood.entry.internal.relay;
