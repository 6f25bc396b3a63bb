/** Tests of the processor guard. */
package io.zinniawood.core.processor;
