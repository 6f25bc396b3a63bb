/** Controller lease and repair: values and rules, without effects. */
package io.zinniawood.core.entry.lease;
