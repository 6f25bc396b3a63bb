/** Wire connections to agents and to other entries. */
package io.zinniawood.entry.internal.link;
