/** Request and response bodies of the chat API. */
package io.zinniawood.entry.internal.chat;
