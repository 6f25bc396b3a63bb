/** Entry process: HTTP for callers and operators, and execution of the reducer's effects. */
package io.zinniawood.entry;
