/** Tests of {@code io.zinniawood.core.route}. */
package io.zinniawood.core.route;
