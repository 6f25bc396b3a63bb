/** Stand-in for the platform's table, object store, VM list and weight store. */
package io.zinniawood.standin.platform;
