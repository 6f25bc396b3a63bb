/** Tests of the fault-injecting proxy. */
package io.zinniawood.standin.proxy;
