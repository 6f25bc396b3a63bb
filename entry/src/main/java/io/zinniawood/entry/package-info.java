/** Entry process: caller and operator HTTP, execution of effects. */
package io.zinniawood.entry;
