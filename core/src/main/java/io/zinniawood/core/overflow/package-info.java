/**
 * Decides what share of new requests leaves a data centre. Pure decisions; depends on ids, routes
 * and layer ranges only.
 */
package io.zinniawood.core.overflow;
