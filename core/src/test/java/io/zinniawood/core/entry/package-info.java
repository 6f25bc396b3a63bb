/** Tests of the entry's reducer with hand-written fakes in virtual time. */
package io.zinniawood.core.entry;
