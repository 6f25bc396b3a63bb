/** Tests of the order and the predicted wait of waiting requests. */
package io.zinniawood.core.waiting;
