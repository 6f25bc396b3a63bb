/** Implementation of the TOML schema, parsing and merging for the public types of the module. */
package io.zinniawood.config.internal;
