/** Tests of reading settings files. */
package io.zinniawood.config.settings;
