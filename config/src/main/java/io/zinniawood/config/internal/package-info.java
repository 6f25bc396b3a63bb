/** Schema, TOML reading and merging behind the public types of the module. */
package io.zinniawood.config.internal;
