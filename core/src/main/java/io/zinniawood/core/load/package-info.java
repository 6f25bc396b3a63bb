/** Load that all relays together bring to the endpoints. Depends on ids and the fleet only. */
package io.zinniawood.core.load;
