/** Tests of the acceptance of operator configuration. */
package io.zinniawood.core.acceptance;
