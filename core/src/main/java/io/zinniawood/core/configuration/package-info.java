/** Model of the accepted operator configuration. Depends on ids only. */
package io.zinniawood.core.configuration;
