/** Tests of merging, validating and serialising the configuration. */
package io.zinniawood.config;
