/** Runs the acceptance reducer against the platform's object store and table. */
package io.zinniawood.entry.acceptance;
