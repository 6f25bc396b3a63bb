/** Parser of request bodies and builder of response bodies of the chat API. */
package io.zinniawood.entry.internal.chat;
