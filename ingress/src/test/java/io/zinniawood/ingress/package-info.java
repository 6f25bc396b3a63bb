/** Tests of the limits on callers' connections. */
package io.zinniawood.ingress;
