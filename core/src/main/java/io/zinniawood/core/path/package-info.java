/**
 * Placement of a model's layers on the endpoints of a service, and planning of request paths
 * through them. Pure functions that depend on ids, model types and route profiles only.
 */
package io.zinniawood.core.path;
