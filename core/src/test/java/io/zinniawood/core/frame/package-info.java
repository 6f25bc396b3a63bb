/** Tests of the evidence of whose bytes a framed response holds. */
package io.zinniawood.core.frame;
