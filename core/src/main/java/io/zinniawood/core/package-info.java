/** Decision logic of the entry, agent and relay roles. Depends on no I/O library. */
package io.zinniawood.core;
