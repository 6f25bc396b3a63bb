/** Controller lease and repair: immutable values and rules, without side effects. */
package io.zinniawood.core.entry.lease;
