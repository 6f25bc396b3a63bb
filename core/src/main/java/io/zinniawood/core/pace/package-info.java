/**
 * Whether endpoints may take one more stream without slowing down their streams beyond their
 * targets. Depends on ids, routes and loads only.
 */
package io.zinniawood.core.pace;
