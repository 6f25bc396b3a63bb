/** Decisions of the entry and agent roles. Depends on no I/O library. */
package io.zinniawood.core;
