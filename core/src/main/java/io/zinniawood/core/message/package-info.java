/** Messages between the processes of the system, independent of their encoding. */
package io.zinniawood.core.message;
