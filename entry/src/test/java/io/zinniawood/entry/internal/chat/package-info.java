/** Tests of the chat request parser. */
package io.zinniawood.entry.internal.chat;
