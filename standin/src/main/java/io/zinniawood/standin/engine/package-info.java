/** Stand-in for a model engine that holds a range of layers, and its reference model. */
package io.zinniawood.standin.engine;
