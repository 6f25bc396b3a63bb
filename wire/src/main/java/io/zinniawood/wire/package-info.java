/** Transport of messages between the processes of the system. */
package io.zinniawood.wire;
