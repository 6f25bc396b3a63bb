/** Process settings, which are read from a TOML file at startup. */
package io.zinniawood.config.settings;
