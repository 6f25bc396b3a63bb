/** Tests of the entry's decisions against hand-written fakes in virtual time. */
package io.zinniawood.core.entry;
