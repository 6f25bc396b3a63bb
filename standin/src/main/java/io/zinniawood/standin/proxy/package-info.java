/** TCP proxy with fault switches for tests. */
package io.zinniawood.standin.proxy;
