/**
 * Evidence of whose bytes a framed response holds. A length or a chunk size counts bytes and says
 * nothing about their origin.
 */
package io.zinniawood.core.frame;
