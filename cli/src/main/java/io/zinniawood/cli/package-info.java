/** Command line. The only module that depends on all others. */
package io.zinniawood.cli;
