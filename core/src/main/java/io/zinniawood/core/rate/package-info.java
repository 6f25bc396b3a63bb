/** Rates of events that decay with time. Depends on nothing else of the project. */
package io.zinniawood.core.rate;
