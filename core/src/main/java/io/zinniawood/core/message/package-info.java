/** Messages between the system's own processes, free of any codec. */
package io.zinniawood.core.message;
