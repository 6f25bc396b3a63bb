/** Validates, merges and serialises the configuration that operators upload. */
package io.zinniawood.config;
