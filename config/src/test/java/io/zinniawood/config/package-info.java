/** Tests of merging, codec and settings. */
package io.zinniawood.config;
