/** Runs the acceptance of operator configuration over the platform's object store and table. */
package io.zinniawood.entry.acceptance;
