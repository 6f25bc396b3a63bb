/**
 * Reading, validating and accepting the configuration folder of the operators: state, events,
 * effects and the reducer. Performs no I/O.
 */
package io.zinniawood.core.acceptance;
