/** Tests of reading and accepting configurations against a store in memory. */
package io.zinniawood.entry.acceptance;
