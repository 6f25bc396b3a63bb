/** Tests of {@code io.zinniawood.cli.explain}. */
package io.zinniawood.cli.explain;
