/**
 * Layers of a model over the endpoints of a service: which endpoint holds which layers, and the
 * path of one request through them. Pure functions; depends on ids and model types only.
 */
package io.zinniawood.core.path;
