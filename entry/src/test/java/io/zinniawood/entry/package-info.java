/** Tests of the entry process with a scripted reducer, a fake platform and a fake transport. */
package io.zinniawood.entry;
