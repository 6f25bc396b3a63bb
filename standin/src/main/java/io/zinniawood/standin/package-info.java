/** Stand-ins for outside systems. */
package io.zinniawood.standin;
