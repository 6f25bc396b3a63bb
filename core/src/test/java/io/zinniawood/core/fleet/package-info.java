/** Tests of {@code io.zinniawood.core.fleet}. */
package io.zinniawood.core.fleet;
