/** Command line. The only module that knows all others. */
package io.zinniawood.cli;
