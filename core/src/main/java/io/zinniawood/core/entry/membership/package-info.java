/** View that an entry has of the endpoints: values and rules, without effects. */
package io.zinniawood.core.entry.membership;
