/** Data model of the accepted configuration. Depends only on the id types. */
package io.zinniawood.core.configuration;
