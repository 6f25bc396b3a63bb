/** Tests of {@code io.zinniawood.core.load}. */
package io.zinniawood.core.load;
