/** Tests of the engine stand-in. */
package io.zinniawood.standin.engine;
