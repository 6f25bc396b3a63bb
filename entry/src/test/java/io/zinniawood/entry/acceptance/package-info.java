/** Tests of reading and accepting configurations against an in-memory store. */
package io.zinniawood.entry.acceptance;
