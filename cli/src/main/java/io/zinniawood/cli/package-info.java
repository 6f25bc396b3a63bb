/** Command line. */
package io.zinniawood.cli;
