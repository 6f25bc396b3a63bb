/** Stand-in for a plain service whose calls must not be repeated. */
package io.zinniawood.standin.service;
