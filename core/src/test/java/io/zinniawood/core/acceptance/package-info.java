/** Tests of the configuration acceptance reducer, with a simulated store. */
package io.zinniawood.core.acceptance;
