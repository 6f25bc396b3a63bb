/** Stand-ins for external systems, with fault switches. */
package io.zinniawood.standin;
