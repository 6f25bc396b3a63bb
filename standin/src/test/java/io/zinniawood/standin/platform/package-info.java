/** Tests of the platform stand-in. */
package io.zinniawood.standin.platform;
