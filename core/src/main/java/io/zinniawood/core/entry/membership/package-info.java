/** View that an entry has of the endpoints: immutable values and rules, without side effects. */
package io.zinniawood.core.entry.membership;
