/** Stand-in for a plain service whose calls are not idempotent. */
package io.zinniawood.standin.service;
