/** Tests of the configuration synchronisation. */
package io.zinniawood.entry.acceptance;
