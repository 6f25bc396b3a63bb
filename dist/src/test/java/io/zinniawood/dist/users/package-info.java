/** Loopback stand-ins for the store, engines and plain services of the users' platform. */
package io.zinniawood.dist.users;
