/** Settings of a process, read from a TOML file at start. */
package io.zinniawood.config.settings;
