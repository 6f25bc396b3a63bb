/** Tests of {@code io.zinniawood.core.path}. */
package io.zinniawood.core.path;
