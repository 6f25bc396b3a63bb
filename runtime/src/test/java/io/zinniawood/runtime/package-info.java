/** Tests of the event loop. */
package io.zinniawood.runtime;
