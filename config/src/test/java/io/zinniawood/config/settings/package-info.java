/** Tests of the settings files. */
package io.zinniawood.config.settings;
