/** Tests of {@code io.zinniawood.cli.local}. */
package io.zinniawood.cli.local;
