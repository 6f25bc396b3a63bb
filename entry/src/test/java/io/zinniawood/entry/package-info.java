/** Tests of the entry process with a scripted reducer and fakes of the platform and the wire. */
package io.zinniawood.entry;
