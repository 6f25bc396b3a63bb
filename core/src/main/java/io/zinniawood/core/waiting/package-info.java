/** Order and predicted wait of the requests of a service for which no capacity is free. */
package io.zinniawood.core.waiting;
