/** Interfaces to model engines and plain services and their HTTP adapter. */
package io.zinniawood.engine;
