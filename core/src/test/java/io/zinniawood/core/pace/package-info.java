/** Tests of the pace limit. */
package io.zinniawood.core.pace;
