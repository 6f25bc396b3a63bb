/** Operator configuration and process settings. */
package io.zinniawood.config;
