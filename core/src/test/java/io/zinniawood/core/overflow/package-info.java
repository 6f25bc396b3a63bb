/** Tests of the decisions on overflow between data centres, in virtual time. */
package io.zinniawood.core.overflow;
